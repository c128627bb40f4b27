// Output to a pipe whose reader is slow or does not read at all.

#include "telemetry/bounded_output.hpp"

#include <boost/test/unit_test.hpp>

#include <array>

#include <fcntl.h>
#include <unistd.h>

using masticslip::bounded_output;

namespace
{

constexpr std::size_t capacity = 4'096;

/// A pipe that is read only on demand.
struct slow_reader
{
    slow_reader()
    {
        BOOST_REQUIRE(::pipe(this->ends.data()) == 0);
        ::fcntl(this->ends[0], F_SETFL, O_NONBLOCK);
    }

    ~slow_reader()
    {
        ::close(this->ends[0]);
        ::close(this->ends[1]);
    }

    std::string read_all() const
    {
        std::string text;
        std::array<char, 4'096> buffer{};
        for (;;)
        {
            const auto size =
                ::read(this->ends[0], buffer.data(), buffer.size());
            if (size <= 0)
            {
                return text;
            }
            text.append(buffer.data(), static_cast<std::size_t>(size));
        }
    }

    std::array<int, 2> ends{};
};

} // namespace

BOOST_AUTO_TEST_SUITE(bounded_output_tests)

BOOST_AUTO_TEST_CASE(writes_lines_in_order)
{
    const slow_reader reader;
    bounded_output output(reader.ends[1], capacity);
    output.write("one");
    output.write("two");
    BOOST_TEST(reader.read_all() == "one\ntwo\n");
}

BOOST_AUTO_TEST_CASE(never_blocks_and_counts_dropped_lines)
{
    const slow_reader reader;
    bounded_output output(reader.ends[1], capacity);
    const std::string line(1'000, 'x');
    constexpr std::uint64_t lines = 1'000;
    for (std::uint64_t i = 0; i < lines; ++i)
    {
        output.write(line);
    }
    const std::uint64_t dropped = output.dropped_lines();
    BOOST_TEST(dropped > 0U);
    reader.read_all();

    output.write("after");

    const std::string text = reader.read_all();
    BOOST_TEST(
        text.find("log_lines_lost count=" + std::to_string(dropped)) !=
        std::string::npos);
    BOOST_TEST(text.ends_with("after\n"));
}

BOOST_AUTO_TEST_SUITE_END()
