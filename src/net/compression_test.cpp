// Checks that texts survive compression and that malformed data is refused.

#include "net/compression.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <random>

using namespace masticslip;

namespace
{

constexpr std::size_t limit = 1'000'000;

std::string random_text(std::size_t size)
{
    std::mt19937 random(1);
    std::string result(size, '\0');
    for (char& symbol : result)
    {
        symbol = static_cast<char>(random());
    }
    return result;
}

/// Text with the structure of a configuration of many routes.
std::string repetitive_text()
{
    std::string result;
    for (int i = 0; i < 1'500; ++i)
    {
        result += R"({"name":"route-)" + std::to_string(i) +
                  R"(","address":"198.18.0.1:)" + std::to_string(1'000 + i) +
                  R"(","service":"meetups","kind":"safe"},)";
    }
    return result;
}

const std::vector<std::string> texts{
    "", "x", "a short text", random_text(100'000), repetitive_text()};

} // namespace

BOOST_AUTO_TEST_SUITE(compression)

BOOST_DATA_TEST_CASE(
    a_text_survives_a_round_trip,
    boost::unit_test::data::xrange(texts.size()),
    index)
{
    std::string reason;
    const auto text = decompress(compress(texts[index]), limit, reason);
    BOOST_REQUIRE_MESSAGE(text.has_value(), reason);
    BOOST_TEST((*text == texts[index]));
}

// A former implementation could not read one document in 170 of its own.
BOOST_AUTO_TEST_CASE(random_documents_survive_a_round_trip)
{
    constexpr int document_count = 5'000;
    constexpr unsigned max_routes = 60;
    std::mt19937 random(1);
    int unreadable = 0;
    for (int i = 0; i < document_count; ++i)
    {
        std::string text = "{";
        for (unsigned route = random() % max_routes; route != 0; --route)
        {
            text += R"({"name":"route-)" + std::to_string(random() % 100'000) +
                    R"(","address":"198.18.0.)" +
                    std::to_string(random() % 255) + ":" +
                    std::to_string(random() % 65'535) + R"(","kind":"safe"},)";
        }
        std::string reason;
        unreadable += decompress(compress(text), limit, reason) != text ? 1 : 0;
    }
    BOOST_TEST(unreadable == 0);
}

BOOST_AUTO_TEST_CASE(a_document_of_routes_shrinks_to_a_fifth)
{
    const std::string text = repetitive_text();
    BOOST_TEST(compress(text).size() * 5 < text.size());
}

BOOST_AUTO_TEST_CASE(a_text_beyond_the_limit_is_refused)
{
    std::string reason;
    const std::string data = compress(std::string(50'000, 'x'));
    BOOST_TEST(!decompress(data, 49'999, reason).has_value());
    BOOST_TEST(!reason.empty());
    BOOST_TEST(decompress(data, 50'000, reason).has_value());
}

BOOST_AUTO_TEST_CASE(malformed_and_truncated_data_is_refused)
{
    std::string reason;
    const std::string data = compress(repetitive_text());
    for (std::size_t size = 0; size < data.size(); size += 97)
    {
        reason.clear();
        BOOST_TEST(!decompress(data.substr(0, size), limit, reason));
        BOOST_TEST(!reason.empty());
    }
    BOOST_TEST(!decompress("\xff\xff\xff\xff", limit, reason));
}

BOOST_AUTO_TEST_SUITE_END()
