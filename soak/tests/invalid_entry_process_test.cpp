// Invalid entries of another writer in the store, with real processes: none
// ends, and what is written afterwards is in force.

#include "invalid_texts.hpp"
#include "soak_world.hpp"

#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <iterator>

#include <unistd.h>

using namespace masticslip;
using namespace masticslip::platform::test;
using namespace masticslip::soak;
using namespace std::chrono_literals;

namespace
{

/// Time within which a change is in force, as the settings of a soak state it.
constexpr std::chrono::seconds time_limit{6};

std::size_t
count_in_log(const soak_world& world, std::size_t process, const char* text)
{
    std::ifstream file(world.log_file(process));
    const std::string log{std::istreambuf_iterator<char>(file), {}};
    std::size_t count = 0;
    for (auto at = log.find(text); at != log.npos; at = log.find(text, at + 1))
    {
        ++count;
    }
    return count;
}

struct world_fixture
{
    world_fixture()
    {
        settings.program = MASTICSLIP_NODE_PROGRAM;
        settings.folder = (std::filesystem::temp_directory_path() /
                           ("masticslip-invalid-" + std::to_string(::getpid())))
                              .string();
        std::filesystem::create_directories(settings.folder);
        world = std::make_unique<soak_world>(settings);
        std::string reason;
        BOOST_REQUIRE_MESSAGE(world->start(reason), reason);
    }

    ~world_fixture()
    {
        world.reset();
        std::filesystem::remove_all(settings.folder);
    }

    soak_settings settings;
    std::unique_ptr<soak_world> world;
};

} // namespace

BOOST_AUTO_TEST_SUITE(invalid_entries_of_processes)

BOOST_FIXTURE_TEST_CASE(no_process_ends_or_ceases_to_follow, world_fixture)
{
    world->start_load(4s + time_limit);
    const auto members = invalid_members();
    const auto configurations = invalid_configurations();
    world->at(
        500ms,
        [&]
        {
            for (std::size_t i = 0; i < members.size(); ++i)
            {
                world->write_entry(
                    "masticslip/companions/a" + std::to_string(i),
                    members[i].text);
            }
            for (const invalid_text& domain : invalid_domains())
            {
                world->write_entry("op/evacuate/" + domain.text, "{}");
            }
        });
    for (std::size_t i = 0; i < configurations.size(); ++i)
    {
        world->at(
            1s + i * 50ms, [this, &configurations, i]
            { world->write_entry("op/config", configurations[i].text); });
    }
    // The checker knows the time limit of withdrawals.
    world->at(3s, [this] { world->withdraw(0); });
    world->at(4s, [this] { world->change_configuration(); });
    world->run(4s + time_limit);

    BOOST_TEST(world->checker().violations().empty());
    BOOST_TEST(world->served_share(1s, 4s + time_limit - 2s) >= 0.99);
    for (std::size_t i = 0; i < world->process_count(); ++i)
    {
        BOOST_TEST(count_in_log(*world, i, "event=started") == 1U);
        // The first configuration, the withdrawal and the last configuration.
        BOOST_TEST(count_in_log(*world, i, "event=policy_in_force") >= 3U);
    }
    for (std::size_t i = 0; i < settings.entries; ++i)
    {
        BOOST_TEST(
            count_in_log(*world, i, "event=member_refused") == members.size());
    }
}

BOOST_AUTO_TEST_SUITE_END()
