#include "datagram_faults.hpp"

#include <stdexcept>

#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

namespace masticslip::soak
{

datagram_fault_table* map_datagram_faults(const char* path, bool creates)
{
    constexpr int file_mode = 0600;
    const int file =
        ::open(path, creates ? O_RDWR | O_CREAT : O_RDWR, file_mode);
    if (file < 0)
    {
        return nullptr;
    }
    constexpr std::size_t size = sizeof(datagram_fault_table);
    void* memory = MAP_FAILED;
    if (!creates || ::ftruncate(file, size) == 0)
    {
        memory =
            ::mmap(nullptr, size, PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    }
    ::close(file);
    return memory == MAP_FAILED ? nullptr
                                : static_cast<datagram_fault_table*>(memory);
}

datagram_faults::datagram_faults(std::string file)
    : path(std::move(file)),
      table(map_datagram_faults(this->path.c_str(), true))
{
    if (this->table == nullptr)
    {
        throw std::runtime_error("cannot create " + this->path);
    }
}

datagram_faults::~datagram_faults()
{
    ::munmap(this->table, sizeof(datagram_fault_table));
}

void datagram_faults::set_address(std::size_t process, std::uint32_t address)
{
    if (process < datagram_fault_table::max_processes)
    {
        this->table->addresses.at(process) = address;
    }
}

void datagram_faults::set(
    std::size_t from, std::size_t to, datagram_fault fault)
{
    if (from < datagram_fault_table::max_processes &&
        to < datagram_fault_table::max_processes)
    {
        this->table->faults.at(from).at(to) = fault;
    }
}

} // namespace masticslip::soak
