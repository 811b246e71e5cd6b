#include "foxquay/settings/difference.h"

#include <catch2/catch.hpp>

namespace foxquay::settings {

TEST_CASE("equal settings have no differences") {
  CHECK(Compare({}, {}).empty());
}

// Guards against a changed key that is not reported to the operator.
TEST_CASE("every key that differs is reported with whether it is reloadable") {
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

// Guards against a key that is reported as reloadable but not applied, or the
// other way round.
TEST_CASE("exactly the reloadable keys are applied") {
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
