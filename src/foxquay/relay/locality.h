#ifndef FOXQUAY_RELAY_LOCALITY_H_
#define FOXQUAY_RELAY_LOCALITY_H_

#include <map>

#include "foxquay/core/id.h"

namespace foxquay::relay {

/// Parts of a whole by data centre; they need not add up to 1.
using CentreShares = std::map<core::DataCentreId, double>;

/// Returns by which factor a host in the data centre `own` is to prefer chains
/// that begin in each data centre of `chains`, so that as many requests as
/// possible stay in theirs while all hosts together use each data centre by its
/// share of the chains.
///
/// Answers links between data centres that lose packets or are slow: events of
/// each stream that crosses one are late. What a data centre's hosts send
/// beyond its share of the chains goes to those with more chains than hosts.
/// `strength` from 0 to 1 is the part of the requests to which this applies;
/// `hosts` are the shares of the hosts. Thread-safe.
[[nodiscard]] CentreShares PreferLocal(const core::DataCentreId& own,
                                       const CentreShares& hosts,
                                       const CentreShares& chains,
                                       double strength);

}  // namespace foxquay::relay

#endif  // FOXQUAY_RELAY_LOCALITY_H_
