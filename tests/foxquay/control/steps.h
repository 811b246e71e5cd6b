#ifndef FOXQUAY_TESTS_CONTROL_STEPS_H_
#define FOXQUAY_TESTS_CONTROL_STEPS_H_

#include <rapidcheck.h>

#include <ostream>
#include <string>
#include <vector>

namespace foxquay::control {

/// One random step of a simulation; the meaning of its numbers depends on `op`.
struct Step {
  char op = 0;
  unsigned host = 0;
  unsigned peer = 0;
  unsigned pick = 0;
};

inline void showValue(const Step& step, std::ostream& out) {  // NOLINT
  out << step.op << step.host << "/" << step.peer << "/" << step.pick;
}

/// Generates random steps. Each character of `ops` is an operation, generated
/// in proportion to its frequency in `ops`; `length` scales the number of
/// steps.
inline rc::Gen<std::vector<Step>> Steps(const std::string& ops, double length) {
  using rc::gen::inRange, rc::gen::set;
  return rc::gen::scale(
      length, rc::gen::container<std::vector<Step>>(rc::gen::build<Step>(
                  set(&Step::op, rc::gen::elementOf(ops)),
                  set(&Step::host, inRange(0U, 12U)),
                  set(&Step::peer, inRange(0U, 12U)),
                  set(&Step::pick,
                      rc::gen::weightedOneOf<unsigned>(
                          {{5, inRange(0U, 12U)}, {2, inRange(0U, 150U)}})))));
}

/// Generates the clock rates of hosts, in per mille above the rate of the
/// slowest clock, up to 1 %.
inline std::vector<int> Rates() {
  return *rc::gen::container<std::vector<int>>(
      7, rc::gen::element(0, 0, 5, 10, 10));
}

}  // namespace foxquay::control

#endif  // FOXQUAY_TESTS_CONTROL_STEPS_H_
