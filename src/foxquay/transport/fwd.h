#ifndef FOXQUAY_TRANSPORT_FWD_H_
#define FOXQUAY_TRANSPORT_FWD_H_

namespace foxquay::transport {

class Seal;
class Links;
struct LinkOptions;
struct LinkCounters;

}  // namespace foxquay::transport

#endif  // FOXQUAY_TRANSPORT_FWD_H_
