#ifndef FOXQUAY_MEMBERSHIP_FWD_H_
#define FOXQUAY_MEMBERSHIP_FWD_H_

namespace foxquay::membership {

class Detector;
class MemberTable;
struct Datagram;
struct DetectorOptions;
struct Member;

}  // namespace foxquay::membership

#endif  // FOXQUAY_MEMBERSHIP_FWD_H_
