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

/// An entry host as the answering host knows it.
struct Host {
  core::HostId id;
  std::string address;
  core::DataCentreId data_centre;
  bool alive = true;
  bool draining = false;
  bool admitting = true;  ///< Whether it admits requests, e.g. has a lease.
  double free = 1;        ///< Share of its capacity that is free, 0 to 1.
};

/// Where a caller may connect.
struct Address {
  core::HostId host;
  std::string address;
  core::DataCentreId data_centre;
  std::uint32_t weight = 0;  ///< Relative to others of its data centre.

  friend bool operator==(const Address&, const Address&) = default;
};

/// The answer of `GET /v1/entry`.
struct Answer {
  std::vector<Address> addresses;  ///< Nearest data centre first.
  core::Duration ttl{};            ///< How long callers may keep it.
};

/// Weight of a host whose capacity is all free.
inline constexpr std::uint32_t kFullWeight = 100;
/// Addresses after which no further data centre is added; two data centres of
/// the design size hold about 73.
inline constexpr std::size_t kAddressTarget = 64;

/// Chooses the addresses for a caller in a data centre. Thread-safe.
///
/// Dead and draining hosts are absent. Hosts that do not admit are named only
/// if no other is left, so that their callers get a refusal with its reason.
/// For a caller that names no data centre, pass the answering host's own; data
/// centres at unknown distances come last, by name. A host without free
/// capacity keeps the weight 1.
[[nodiscard]] Answer ChooseAddresses(const std::vector<Host>& hosts,
                                     const core::DataCentreId& caller,
                                     const Distances& distances,
                                     core::Duration ttl);

}  // namespace foxquay::entry

#endif  // FOXQUAY_ENTRY_ANSWER_H_
