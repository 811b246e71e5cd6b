#ifndef FOXQUAY_TESTS_PLATFORM_SCENARIOS_FAILURES_H_
#define FOXQUAY_TESTS_PLATFORM_SCENARIOS_FAILURES_H_

namespace foxquay::platform::scenarios {

/// Returns whether a check of the test case that runs has failed.
[[nodiscard]] bool TestCaseFailed() noexcept;

}  // namespace foxquay::platform::scenarios

#endif  // FOXQUAY_TESTS_PLATFORM_SCENARIOS_FAILURES_H_
