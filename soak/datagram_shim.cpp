// Library that is preloaded into masticslip_node: replaces sendto() and applies
// the faults of datagram_faults.hpp to datagrams for other processes.

#include "datagram_faults.hpp"

#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdlib>
#include <mutex>
#include <queue>
#include <thread>
#include <vector>

#include <dlfcn.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace
{

using namespace masticslip::soak;
using clock_type = std::chrono::steady_clock;
using send_function =
    ssize_t (*)(int, const void*, size_t, int, const sockaddr*, socklen_t);

send_function original_send()
{
    static const auto function =
        reinterpret_cast<send_function>(::dlsym(RTLD_NEXT, "sendto"));
    return function;
}

struct delayed_datagram
{
    clock_type::time_point due;
    int socket = -1;
    sockaddr_in receiver{};
    std::vector<char> data;

    bool operator<(const delayed_datagram& other) const
    {
        return other.due < this->due;
    }
};

/// Sends datagrams later, on a thread of its own. Thread-safe.
class delayed_sender
{
public:
    delayed_sender()
    {
        // Signals are left to the threads of the process.
        sigset_t all;
        sigset_t previous;
        ::sigfillset(&all);
        ::pthread_sigmask(SIG_SETMASK, &all, &previous);
        std::thread([this] { this->run(); }).detach();
        ::pthread_sigmask(SIG_SETMASK, &previous, nullptr);
    }

    void add(delayed_datagram item)
    {
        const std::lock_guard lock(this->mutex);
        this->items.push(std::move(item));
        this->changed.notify_one();
    }

private:
    [[noreturn]] void run()
    {
        std::unique_lock lock(this->mutex);
        for (;;)
        {
            if (this->items.empty())
            {
                this->changed.wait(lock);
                continue;
            }
            const auto due = this->items.top().due;
            if (clock_type::now() < due)
            {
                this->changed.wait_until(lock, due);
                continue;
            }
            const delayed_datagram item = this->items.top();
            this->items.pop();
            original_send()(
                item.socket, item.data.data(), item.data.size(), 0,
                reinterpret_cast<const sockaddr*>(&item.receiver),
                sizeof(item.receiver));
        }
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::priority_queue<delayed_datagram> items;
};

/// Never destroyed: its thread runs until the process ends.
delayed_sender& sender()
{
    static auto* const instance = new delayed_sender;
    return *instance;
}

const datagram_fault_table* table()
{
    static const datagram_fault_table* const mapped = []
    {
        const char* path = std::getenv(datagram_file_variable);
        return path == nullptr ? nullptr : map_datagram_faults(path, false);
    }();
    return mapped;
}

std::size_t own_number()
{
    static const std::size_t number = []
    {
        constexpr int decimal = 10;
        const char* text = std::getenv(datagram_process_variable);
        return text == nullptr ? datagram_fault_table::max_processes
                               : std::strtoul(text, nullptr, decimal);
    }();
    return number;
}

datagram_fault fault_towards(std::uint32_t address)
{
    const datagram_fault_table* faults = table();
    if (faults == nullptr || own_number() >= faults->faults.size())
    {
        return datagram_fault::none;
    }
    for (std::size_t i = 0; i < faults->addresses.size(); ++i)
    {
        if (faults->addresses[i] == address)
        {
            return faults->faults[own_number()][i];
        }
    }
    return datagram_fault::none;
}

void send_later(
    std::chrono::milliseconds delay,
    int socket,
    const void* data,
    std::size_t size,
    const sockaddr_in& receiver)
{
    const auto* begin = static_cast<const char*>(data);
    sender().add(
        {clock_type::now() + delay, socket, receiver, {begin, begin + size}});
}

} // namespace

extern "C" ssize_t sendto(
    int socket,
    const void* data,
    size_t size,
    int flags,
    const sockaddr* receiver,
    socklen_t receiver_size)
{
    static std::atomic<unsigned> counter = 0;
    const auto pass = [&]
    {
        return original_send()(
            socket, data, size, flags, receiver, receiver_size);
    };
    if (receiver == nullptr || receiver->sa_family != AF_INET)
    {
        return pass();
    }
    const auto& address = *reinterpret_cast<const sockaddr_in*>(receiver);
    constexpr unsigned loss_step = 3;
    switch (fault_towards(ntohl(address.sin_addr.s_addr)))
    {
    case datagram_fault::none:
        return pass();
    case datagram_fault::cut:
        return static_cast<ssize_t>(size);
    case datagram_fault::lossy:
        return ++counter % loss_step == 0 ? static_cast<ssize_t>(size) : pass();
    case datagram_fault::delayed:
        send_later(
            std::chrono::milliseconds(datagram_delay_ms), socket, data, size,
            address);
        return static_cast<ssize_t>(size);
    case datagram_fault::doubled:
        pass();
        return pass();
    case datagram_fault::reordered:
        if (++counter % 2 == 0)
        {
            return pass();
        }
        send_later(
            std::chrono::milliseconds(reorder_delay_ms), socket, data, size,
            address);
        return static_cast<ssize_t>(size);
    }
    return pass();
}
