#include "foxquay/routing/group.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>
#include <utility>

namespace foxquay::routing {
namespace internal {

bool Contains(const std::vector<std::string>& list, const std::string& value) {
  return std::find(list.begin(), list.end(), value) != list.end();
}

/// Returns whether the layers of an announcement are valid and it offers the
/// adapter.
bool CanServe(const schema::Announcement& announced,
              const std::string& adapter) {
  return announced.layers.first <= announced.layers.last &&
         announced.layers.last < announced.model_layers &&
         (adapter.empty() || Contains(announced.adapters, adapter));
}

/// Sorts the members of one group into classes.
class GroupBuilder {
 public:
  GroupBuilder(std::string version, std::uint32_t layers,
               const core::DataCentreId& local_data_centre) {
    group_.version = std::move(version);
    group_.layers = layers;
    group_.data_centres.push_back(local_data_centre);
  }

  void Add(UpstreamIndex index, const schema::Announcement& announced) {
    const std::uint32_t data_centre_index =
        DataCentreIndex(announced.data_centre);
    const auto key =
        std::make_tuple(announced.layers.first, announced.layers.last,
                        data_centre_index, announced.accelerator);
    const auto [found, added] = classes_.emplace(key, group_.classes.size());
    if (added) {
      StageClass stage_class;
      stage_class.layers = announced.layers;
      stage_class.accelerator = announced.accelerator;
      stage_class.data_centre_index = data_centre_index;
      group_.classes.push_back(std::move(stage_class));
    }
    group_.classes[found->second].members.push_back(index);
    group_.class_of[index] = static_cast<std::uint32_t>(found->second);
  }

  Group Finish(const LinkTable& links) && {
    std::set<std::uint32_t> starts{0};
    for (const StageClass& c : group_.classes) starts.insert(c.layers.first);
    std::set<std::uint32_t> boundaries = starts;
    boundaries.insert(group_.layers);
    for (StageClass& c : group_.classes) {
      // Stage times are linear in the number of layers. If in addition no
      // direct link is slower than a detour, the best cut between two
      // overlapping ranges is the end of the first or the start of the second.
      c.ends.assign(starts.upper_bound(c.layers.first),
                    starts.upper_bound(c.layers.last));
      c.ends.push_back(c.layers.last + 1);
      boundaries.insert(c.layers.last + 1);
    }
    group_.boundaries.assign(boundaries.begin(), boundaries.end());
    for (const core::DataCentreId& a : group_.data_centres) {
      for (const core::DataCentreId& b : group_.data_centres) {
        group_.links.push_back(
            std::chrono::duration<double>(links.Between(a, b)).count());
      }
    }
    return std::move(group_);
  }

 private:
  std::uint32_t DataCentreIndex(const core::DataCentreId& data_centre) {
    const auto found = std::find(group_.data_centres.begin(),
                                 group_.data_centres.end(), data_centre);
    if (found != group_.data_centres.end()) {
      return static_cast<std::uint32_t>(found - group_.data_centres.begin());
    }
    group_.data_centres.push_back(data_centre);
    return static_cast<std::uint32_t>(group_.data_centres.size() - 1);
  }

  Group group_;
  std::map<std::tuple<std::uint32_t, std::uint32_t, std::uint32_t, std::string>,
           std::size_t>
      classes_;
};

}  // namespace internal

std::vector<Group> BuildGroups(const Upstreams& upstreams,
                               const core::ModelId& model,
                               const std::string& adapter,
                               const std::optional<std::string>& version,
                               const core::DataCentreId& local_data_centre,
                               const LinkTable& links) {
  // Upstreams that disagree on the number of layers cannot form a chain.
  std::map<std::pair<std::string, std::uint32_t>, internal::GroupBuilder>
      builders;
  for (const UpstreamIndex index : upstreams.Members(model)) {
    const schema::Announcement& announced = upstreams[index].announced;
    if (!internal::CanServe(announced, adapter)) continue;
    std::vector<std::string> versions = announced.versions;
    if (versions.empty()) versions.emplace_back();
    for (const std::string& offered : versions) {
      if (version && offered != *version) continue;
      const auto key = std::make_pair(offered, announced.model_layers);
      auto found = builders.find(key);
      if (found == builders.end()) {
        found = builders
                    .emplace(key, internal::GroupBuilder(offered,
                                                         announced.model_layers,
                                                         local_data_centre))
                    .first;
      }
      found->second.Add(index, announced);
    }
  }
  std::vector<Group> groups;
  groups.reserve(builders.size());
  for (auto& [key, builder] : builders) {
    groups.push_back(std::move(builder).Finish(links));
  }
  return groups;
}

}  // namespace foxquay::routing
