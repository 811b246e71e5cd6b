#include "foxquay/settings/difference.h"

#include <catch2/catch.hpp>

namespace foxquay::settings {

TEST_CASE("settings that are equal have no difference") {
  CHECK(Compare({}, {}).empty());
}

// Guards against a change of the file that an operator is not told of.
TEST_CASE("every key that differs is named with when it takes effect") {
  schema::Settings after;
  after.host.roles = {schema::Role::kControl};
  after.limits.grace = std::chrono::seconds(1);
  after.log.level = "debug";
  after.join.seeds = {"127.0.0.1:1"};
  after.peers.emplace_back();
  const Differences expected{{"host.roles", false},
                             {"peers", false},
                             {"limits.grace", true},
                             {"log.level", true},
                             {"join.seeds", true}};
  CHECK(Compare({}, after) == expected);
}

// Guards against a key that is logged as taking effect and is not taken over,
// or the other way round.
TEST_CASE("what takes effect at once is what is taken over") {
  schema::Settings read;
  read.limits.grace = std::chrono::seconds(1);
  read.limits.revocation = std::chrono::seconds(1);
  read.log.level = "debug";
  read.join.seeds = {"127.0.0.1:1"};
  schema::Settings running;
  ApplyReloadable(read, running);
  CHECK(Compare(running, read) == Differences{{"limits.revocation", false}});
}

}  // namespace foxquay::settings
