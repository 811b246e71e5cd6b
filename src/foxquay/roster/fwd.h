#ifndef FOXQUAY_ROSTER_FWD_H_
#define FOXQUAY_ROSTER_FWD_H_

#include <cstdint>

namespace foxquay::roster {

class Doubts;
class Roster;
class Spread;
enum class FeedChange : std::uint8_t;
enum class UpdateReason : std::uint8_t;
struct FeedStats;

}  // namespace foxquay::roster

#endif  // FOXQUAY_ROSTER_FWD_H_
