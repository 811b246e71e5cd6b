#include "foxquay/control/state.h"

#include <catch2/catch.hpp>
#include <chrono>

#include "foxquay/control/policy.h"
#include "foxquay/dispatch/event.h"
#include "foxquay/schema/codec.h"

namespace foxquay::control {
namespace {

// Guards against a change that is accepted but does not reach the policy event.
TEST_CASE("an accepted default reaches the policy event") {
  State state;
  const auto result =
      state.Apply(1, core::WallTime(std::chrono::seconds(1000)),
                  schema::Encode(schema::ControlCommand(schema::SetDefault{
                      {"c1", 0, "ada"}, "retry.budget", 20})));
  const auto& change = std::get<schema::ChangeResult>(result);
  CHECK(change.status == schema::ChangeStatus::kAccepted);
  CHECK(change.revision == 1);
  CHECK(ToPolicy<dispatch::PolicyChanged>(state.config()).defaults[9] == 20);
}

}  // namespace
}  // namespace foxquay::control
