#ifndef FOXQUAY_FLEET_FWD_H_
#define FOXQUAY_FLEET_FWD_H_

namespace foxquay::fleet {

class Table;
struct Match;

}  // namespace foxquay::fleet

#endif  // FOXQUAY_FLEET_FWD_H_
