// Tests of the faults of datagrams. The test program is linked against the
// library that is preloaded into the processes of a soak run.

#include "datagram_faults.hpp"
#include "net/datagram_socket.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <filesystem>

#include <unistd.h>

using namespace masticslip;
using namespace masticslip::soak;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint32_t receiver_address = 0x7F4E0001;

/// The test program is process 0, the receiver process 1.
datagram_faults& faults()
{
    static const auto path =
        std::filesystem::temp_directory_path() /
        ("masticslip-datagrams-" + std::to_string(::getpid()));
    static datagram_faults instance(path.string());
    return instance;
}

struct socket_pair
{
    socket_pair() : sender(context), receiver(context)
    {
        ::setenv(datagram_file_variable, faults().file().c_str(), 1);
        ::setenv(datagram_process_variable, "0", 1);
        faults().set_address(1, receiver_address);
        std::string reason;
        BOOST_REQUIRE_MESSAGE(
            receiver.open({receiver_address, 0}, reason), reason);
        BOOST_REQUIRE_MESSAGE(sender.open({0x7F000001, 0}, reason), reason);
        receiver.start([this](const endpoint&, byte_view datagram)
                       { received.push_back(datagram[0]); });
    }

    ~socket_pair()
    {
        faults().set(0, 1, datagram_fault::none);
        std::filesystem::remove(faults().file());
    }

    /// Sends the numbers 0 to 5 and receives for `time`.
    void exchange(std::chrono::milliseconds time)
    {
        for (std::uint8_t i = 0; i < 6; ++i)
        {
            const bytes datagram{i};
            sender.send(receiver.local(), datagram);
        }
        context.restart();
        context.run_for(time);
    }

    boost::asio::io_context context{1};
    datagram_socket sender;
    datagram_socket receiver;
    std::vector<int> received;
};

struct fault_case
{
    const char* name;
    datagram_fault fault;
    /// In the order of arrival.
    std::vector<int> received;
    bool is_late = false;
};

std::ostream& operator<<(std::ostream& stream, const fault_case& value)
{
    return stream << value.name;
}

const std::vector<fault_case> fault_cases{
    {"none", datagram_fault::none, {0, 1, 2, 3, 4, 5}},
    {"cut", datagram_fault::cut, {}},
    {"lossy", datagram_fault::lossy, {0, 1, 3, 4}},
    {"delayed", datagram_fault::delayed, {0, 1, 2, 3, 4, 5}, true},
    {"doubled", datagram_fault::doubled, {0, 0, 1, 1, 2, 2, 3, 3, 4, 4, 5, 5}},
    {"reordered", datagram_fault::reordered, {1, 3, 5, 0, 2, 4}}};

} // namespace

BOOST_AUTO_TEST_SUITE(datagram_fault_tests)

BOOST_DATA_TEST_CASE_F(
    socket_pair,
    a_fault_applies_to_the_datagrams_of_one_link,
    boost::unit_test::data::make(fault_cases),
    item)
{
    faults().set(1, 0, datagram_fault::cut);
    faults().set(0, 2, datagram_fault::cut);
    faults().set(0, 1, item.fault);
    exchange(10ms);
    BOOST_TEST((received.empty() == (item.is_late || item.received.empty())));
    context.restart();
    context.run_for(500ms);
    BOOST_TEST(received == item.received, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
