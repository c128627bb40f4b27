#pragma once
/// Faults of the datagrams that processes send to each other. The soak writes
/// them to a file; the library datagram_shim, preloaded into each process, maps
/// the file and applies them in sendto(), so that no proxy is in the way and
/// addresses stay as they are.
///
///     datagram_faults faults(folder + "/datagrams");
///     faults.set_address(0, 0x7F160101);
///     faults.set(0, 5, datagram_fault::cut); // from process 0 to process 5

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>

namespace masticslip::soak
{

enum class datagram_fault : std::uint8_t
{
    none,
    cut,      ///< Discards all datagrams.
    lossy,    ///< Discards every third datagram.
    delayed,  ///< Sends all datagrams `datagram_delay_ms` later.
    doubled,  ///< Sends each datagram twice.
    reordered ///< Sends every second datagram `reorder_delay_ms` later.
};

constexpr int datagram_delay_ms = 200;
constexpr int reorder_delay_ms = 20;

/// Content of the file; all zero at first.
struct datagram_fault_table
{
    static constexpr std::size_t max_processes = 256;

    std::array<std::atomic<std::uint32_t>, max_processes> addresses;
    /// Fault by sender and receiver.
    std::array<
        std::array<std::atomic<datagram_fault>, max_processes>,
        max_processes>
        faults;
};

/// Maps the file; nullptr if that fails. Thread-safe.
datagram_fault_table* map_datagram_faults(const char* path, bool creates);

/// Variables from which the preloaded library learns the file and the number of
/// its process.
constexpr const char* datagram_file_variable = "MASTICSLIP_SOAK_DATAGRAMS";
constexpr const char* datagram_process_variable = "MASTICSLIP_SOAK_PROCESS";

/// Writes the faults. Calls for a process beyond the table have no effect.
class datagram_faults
{
public:
    /// Creates the file; throws std::runtime_error if that fails.
    explicit datagram_faults(std::string path);
    ~datagram_faults();

    datagram_faults(const datagram_faults&) = delete;
    datagram_faults& operator=(const datagram_faults&) = delete;

    void set_address(std::size_t process, std::uint32_t address);
    void set(std::size_t from, std::size_t to, datagram_fault fault);

    [[nodiscard]] const std::string& file() const
    {
        return this->path;
    }

private:
    std::string path;
    datagram_fault_table* table;
};

} // namespace masticslip::soak
