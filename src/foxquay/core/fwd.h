#ifndef FOXQUAY_CORE_FWD_H_
#define FOXQUAY_CORE_FWD_H_

#include <cstdint>

namespace foxquay::core {

template <class Tag>
class StringId;
template <class Tag>
class NumericId;

struct HostTag;
struct DataCentreTag;
struct RegionTag;
struct WorkspaceTag;
struct UpstreamTag;
struct ModelTag;
struct ServiceTag;
struct RequestTag;
struct LegTag;

/// Names one foxquayd process, whatever its restarts.
using HostId = StringId<HostTag>;
/// Names a data centre.
using DataCentreId = StringId<DataCentreTag>;
/// Names a region, a group of data centres close to each other.
using RegionId = StringId<RegionTag>;
/// Names a workspace, the unit of fair sharing.
using WorkspaceId = StringId<WorkspaceTag>;
/// Names an upstream.
using UpstreamId = StringId<UpstreamTag>;
/// Names a model.
using ModelId = StringId<ModelTag>;
/// Names a plain service.
using ServiceId = StringId<ServiceTag>;
/// Numbers a request within one host's process.
using RequestId = NumericId<RequestTag>;
/// Numbers a leg within one host's process.
using LegId = NumericId<LegTag>;

struct Finding;
enum class Outcome : std::uint8_t;
enum class TrafficClass : std::uint8_t;

}  // namespace foxquay::core

#endif  // FOXQUAY_CORE_FWD_H_
