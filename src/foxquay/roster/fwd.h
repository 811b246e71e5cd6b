#ifndef FOXQUAY_ROSTER_FWD_H_
#define FOXQUAY_ROSTER_FWD_H_

namespace foxquay::roster {

class Roster;

}  // namespace foxquay::roster

#endif  // FOXQUAY_ROSTER_FWD_H_
