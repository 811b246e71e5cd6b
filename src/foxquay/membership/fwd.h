#ifndef FOXQUAY_MEMBERSHIP_FWD_H_
#define FOXQUAY_MEMBERSHIP_FWD_H_

#include <cstdint>

namespace foxquay::membership {

class ControlOutage;
class ParentSelector;
template <class Poll>
class PollQueue;
enum class ParentChange : std::uint8_t;
struct ParentCandidate;

}  // namespace foxquay::membership

#endif  // FOXQUAY_MEMBERSHIP_FWD_H_
