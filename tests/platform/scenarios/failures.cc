#include "platform/scenarios/failures.h"

// Declares the listeners of Catch2 2.
#define CATCH_CONFIG_EXTERNAL_INTERFACES
#include <catch2/catch.hpp>

namespace foxquay::platform::scenarios {
namespace internal {

bool test_case_failed = false;

class FailureListener : public Catch::TestEventListenerBase {
 public:
  using TestEventListenerBase::TestEventListenerBase;

  void testCaseStarting(const Catch::TestCaseInfo& /*test_case*/) override {
    test_case_failed = false;
  }
  bool assertionEnded(const Catch::AssertionStats& stats) override {
    if (!stats.assertionResult.isOk()) test_case_failed = true;
    return true;
  }
};

CATCH_REGISTER_LISTENER(FailureListener)

}  // namespace internal

bool TestCaseFailed() noexcept { return internal::test_case_failed; }

}  // namespace foxquay::platform::scenarios
