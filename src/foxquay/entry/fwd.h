#ifndef FOXQUAY_ENTRY_FWD_H_
#define FOXQUAY_ENTRY_FWD_H_

namespace foxquay::entry {

struct Host;
struct Address;
struct Answer;
class Distances;

}  // namespace foxquay::entry

#endif  // FOXQUAY_ENTRY_FWD_H_
