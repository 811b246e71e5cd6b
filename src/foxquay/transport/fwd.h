#ifndef FOXQUAY_TRANSPORT_FWD_H_
#define FOXQUAY_TRANSPORT_FWD_H_

namespace foxquay::transport {

class MessageAuthenticator;
class PeerTransport;
struct ConnectionLoss;
struct PeerTransportOptions;
struct PeerTransportCounters;

}  // namespace foxquay::transport

#endif  // FOXQUAY_TRANSPORT_FWD_H_
