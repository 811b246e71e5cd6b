#ifndef FOXQUAY_ENTRY_ANSWER_H_
#define FOXQUAY_ENTRY_ANSWER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "foxquay/core/id.h"
#include "foxquay/core/time.h"
#include "foxquay/entry/distances.h"
#include "foxquay/entry/fwd.h"

namespace foxquay::entry {

/// An entry host, as known to the host that answers.
struct Host {
  core::HostId id;
  std::string address;
  core::DataCentreId data_centre;
  bool alive = true;
  bool draining = false;
  bool admitting = true;  ///< Whether it admits requests, e.g. holds a lease.
  bool cut_off = false;   ///< Whether it reaches no upstream.
  double free = 1;        ///< Free part of its capacity, 0 to 1.
};

/// An address that a caller may connect to.
struct Address {
  core::HostId host;
  std::string address;
  core::DataCentreId data_centre;
  std::uint32_t weight = 0;  ///< Relative to hosts of its data centre.

  friend bool operator==(const Address&, const Address&) = default;
};

/// Answer to `GET /v1/entry`.
struct Answer {
  std::vector<Address> addresses;  ///< Nearest data centre first.
  core::Duration ttl{};            ///< How long callers may cache it.
};

/// Weight of a host with all of its capacity free.
inline constexpr std::uint32_t kFullWeight = 100;
/// Number of addresses from which on no further data centre is added. Two data
/// centres of the design size have about 73 hosts.
inline constexpr std::size_t kAddressTarget = 64;

/// Returns the addresses for a caller in the data centre `caller`, nearest data
/// centre first. Thread-safe.
///
/// Dead and draining hosts are left out. Hosts that reach no upstream, and
/// after them hosts that do not admit requests, are listed only if there are no
/// others, so that callers get a refusal with its reason. For a caller that
/// names no data centre, pass that of the answering host. Data centres at
/// unknown distances come last, by name. The weight follows the free capacity
/// and is at least 1.
[[nodiscard]] Answer ChooseAddresses(const std::vector<Host>& hosts,
                                     const core::DataCentreId& caller,
                                     const Distances& distances,
                                     core::Duration ttl);

}  // namespace foxquay::entry

#endif  // FOXQUAY_ENTRY_ANSWER_H_
