#include "foxquay/fleet/difference.h"

#include <algorithm>
#include <iomanip>
#include <iterator>
#include <map>
#include <set>
#include <sstream>
#include <utility>

#include "foxquay/core/time.h"

namespace foxquay::fleet {
namespace internal {

/// Characters of an API key that are shown, and the length from which on they
/// are: few enough that the rest cannot be guessed.
constexpr std::size_t kShownCharacters = 3;
constexpr std::size_t kMinMaskedLength = 12;

/// Significant digits that every number of a configuration has at most.
constexpr int kDigits = 12;

/// Fields of an object as text, by key path.
using Fields = std::map<std::string, std::string>;

std::string Format(double value) {
  std::ostringstream out;
  out << std::setprecision(kDigits) << value;
  return std::move(out).str();
}

std::string Format(core::Duration value) {
  return Format(core::ToMilliseconds(value)) + " ms";
}

std::string Format(std::uint32_t value) { return std::to_string(value); }

std::string Format(bool value) { return value ? "yes" : "no"; }

std::string Format(schema::RequestKind kind) {
  switch (kind) {
    case schema::RequestKind::kRepeatable:
      return "repeatable";
    case schema::RequestKind::kAtMostOnce:
      return "at most once";
    case schema::RequestKind::kStream:
      return "stream";
  }
  return "unknown";
}

std::string Format(const std::vector<schema::WeightedService>& services) {
  std::string text;
  for (const schema::WeightedService& weighted : services) {
    if (!text.empty()) text += ", ";
    text += weighted.service.value() + " (" + Format(weighted.weight) + ")";
  }
  return text;
}

std::string Mask(const std::string& key) {
  const std::string shown =
      key.size() < kMinMaskedLength ? "" : key.substr(0, kShownCharacters);
  return shown + "*** (" + std::to_string(key.size()) + " characters)";
}

std::string NameOf(const schema::Route& route) {
  return route.host + route.path_prefix;
}
std::string NameOf(const schema::Service& service) {
  return service.id.value();
}
std::string NameOf(const schema::Workspace& workspace) {
  return workspace.id.value();
}

Fields Describe(const schema::Route& route) {
  return {{"name", route.name},
          {"kind", Format(route.kind)},
          {"timeout", Format(route.timeout)},
          {"target_latency", Format(route.target_latency)},
          {"target_gap", Format(route.target_gap)},
          {"priority", Format(route.priority)},
          {"services", Format(route.services)},
          {"max_attempts", Format(route.max_attempts)},
          {"open", Format(route.open)},
          {"model", Format(route.model)},
          {"resumable", Format(route.resumable)}};
}

Fields Describe(const schema::Service& service) {
  Fields fields{{"max_connections", Format(service.max_connections)}};
  if (!service.engine) return fields;
  const schema::Engine& engine = *service.engine;
  const auto add = [&fields](const std::string& field, const auto& value) {
    fields.emplace("engine." + field, Format(value));
  };
  add("slots", engine.slots);
  add("token_memory_mb", engine.token_memory_mb);
  add("stride", engine.stride);
  add("step", engine.step);
  add("per_sequence", engine.per_sequence);
  add("context_per_k", engine.context_per_k);
  add("prefill_per_s", engine.prefill_per_s);
  add("load", engine.load);
  add("layers", engine.layers);
  add("max_stages", engine.max_stages);
  add("layer_mb", engine.layer_mb);
  add("activation_bytes", engine.activation_bytes);
  add("pipe_mbps", engine.pipe_mbps);
  add("usual_prompt", engine.usual_prompt);
  add("usual_answer", engine.usual_answer);
  for (const schema::Accelerator& accelerator : engine.accelerators) {
    const std::string path = "accelerators[" + accelerator.kind + "].";
    add(path + "memory_mb", accelerator.memory_mb);
    add(path + "pace", accelerator.pace);
    add(path + "read_factor", accelerator.read_factor);
  }
  return fields;
}

Fields Describe(const schema::Workspace& workspace) {
  return {{"priority",
           workspace.priority ? Format(*workspace.priority) : "of the route"}};
}

Fields Describe(const schema::CallerLimits& limits) {
  return {{"max_header_bytes", Format(limits.max_header_bytes)},
          {"max_body_bytes", Format(limits.max_body_bytes)},
          {"header_timeout", Format(limits.header_timeout)},
          {"idle_timeout", Format(limits.idle_timeout)}};
}

std::string ValueOf(const Fields& fields, const std::string& field) {
  const auto found = fields.find(field);
  return found == fields.end() ? "" : found->second;
}

std::vector<FieldDifference> CompareFields(const Fields& before,
                                           const Fields& after) {
  Fields all = before;
  all.insert(after.begin(), after.end());
  std::vector<FieldDifference> differences;
  for (const auto& [field, value] : all) {
    FieldDifference difference{field, ValueOf(before, field),
                               ValueOf(after, field)};
    if (difference.before != difference.after) {
      differences.push_back(std::move(difference));
    }
  }
  return differences;
}

/// Objects without API keys have none to compare.
template <class Item>
std::set<std::string> KeysOf(const Item&) {
  return {};
}

std::set<std::string> KeysOf(const schema::Workspace& workspace) {
  return {workspace.api_keys.begin(), workspace.api_keys.end()};
}

void CompareKeys(const std::set<std::string>& before,
                 const std::set<std::string>& after,
                 std::vector<FieldDifference>& differences) {
  for (const std::string& key : before) {
    if (!after.contains(key)) {
      differences.push_back({"api_keys", Mask(key), ""});
    }
  }
  for (const std::string& key : after) {
    if (!before.contains(key)) {
      differences.push_back({"api_keys", "", Mask(key)});
    }
  }
}

/// Returns the items of a list by name. Items that share a name, which only
/// workspaces of a valid configuration may, are numbered.
template <class Item>
std::map<std::string, const Item*> ByName(const std::vector<Item>& items) {
  std::map<std::string, const Item*> named;
  for (const Item& item : items) {
    const std::string name = NameOf(item);
    std::string unique = name;
    for (int number = 2; named.contains(unique); ++number) {
      unique = name + " #" + std::to_string(number);
    }
    named.emplace(std::move(unique), &item);
  }
  return named;
}

template <class Item>
void CompareLists(const char* list, const std::vector<Item>& before,
                  const std::vector<Item>& after,
                  std::vector<Difference>& differences) {
  const auto old_items = ByName(before);
  const auto new_items = ByName(after);
  auto names = old_items;
  names.insert(new_items.begin(), new_items.end());
  for (const auto& [name, any] : names) {
    const auto old_item = old_items.find(name);
    const auto new_item = new_items.find(name);
    Difference difference{DifferenceKind::kChanged, list, name, {}};
    Fields old_fields;
    Fields new_fields;
    std::set<std::string> old_keys;
    std::set<std::string> new_keys;
    if (old_item == old_items.end()) {
      difference.kind = DifferenceKind::kAdded;
    } else {
      old_fields = Describe(*old_item->second);
      old_keys = KeysOf(*old_item->second);
    }
    if (new_item == new_items.end()) {
      difference.kind = DifferenceKind::kRemoved;
    } else {
      new_fields = Describe(*new_item->second);
      new_keys = KeysOf(*new_item->second);
    }
    difference.fields = CompareFields(old_fields, new_fields);
    CompareKeys(old_keys, new_keys, difference.fields);
    if (difference.fields.empty()) continue;
    differences.push_back(std::move(difference));
  }
}

/// Returns the workspaces without the one that represents an empty list.
std::vector<schema::Workspace> NamedWorkspaces(const schema::Fleet& fleet) {
  std::vector<schema::Workspace> named;
  std::copy_if(fleet.workspaces.begin(), fleet.workspaces.end(),
               std::back_inserter(named),
               [](const schema::Workspace& workspace) {
                 return workspace != schema::Workspace();
               });
  return named;
}

}  // namespace internal

std::vector<Difference> Compare(const schema::Fleet& before,
                                const schema::Fleet& after) {
  std::vector<Difference> differences;
  internal::CompareLists("routes", before.routes, after.routes, differences);
  internal::CompareLists("services", before.services, after.services,
                         differences);
  const bool needed = !before.workspaces.empty();
  const bool still_needed = !after.workspaces.empty();
  if (needed != still_needed) {
    differences.push_back({DifferenceKind::kChanged,
                           "workspaces",
                           "",
                           {{"requests need a key", internal::Format(needed),
                             internal::Format(still_needed)}}});
  }
  internal::CompareLists("workspaces", internal::NamedWorkspaces(before),
                         internal::NamedWorkspaces(after), differences);
  auto limits = internal::CompareFields(internal::Describe(before.limits),
                                        internal::Describe(after.limits));
  if (!limits.empty()) {
    differences.push_back(
        {DifferenceKind::kChanged, "limits", "", std::move(limits)});
  }
  return differences;
}

}  // namespace foxquay::fleet
