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
struct PromptPartTag;
struct ServiceTag;
struct RequestTag;
struct LegTag;

/// Identifies a host, a foxquayd process across its restarts.
using HostId = StringId<HostTag>;
/// Identifies a data centre.
using DataCentreId = StringId<DataCentreTag>;
/// Identifies a region, a group of data centres close to each other.
using RegionId = StringId<RegionTag>;
/// Identifies a workspace, the unit of fair sharing.
using WorkspaceId = StringId<WorkspaceTag>;
/// Identifies an upstream.
using UpstreamId = StringId<UpstreamTag>;
/// Identifies a model.
using ModelId = StringId<ModelTag>;
/// Identifies a part of a prompt that requests may share.
using PromptPartId = StringId<PromptPartTag>;
/// Identifies a service.
using ServiceId = StringId<ServiceTag>;
/// Identifies a request within one process.
using RequestId = NumericId<RequestTag>;
/// Identifies a leg, one dispatch of a request, within one process.
using LegId = NumericId<LegTag>;

struct Finding;
enum class Outcome : std::uint8_t;
enum class TrafficClass : std::uint8_t;

}  // namespace foxquay::core

#endif  // FOXQUAY_CORE_FWD_H_
