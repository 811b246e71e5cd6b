#include "foxquay/settings/settings.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <fstream>
#include <initializer_list>
#include <set>
#include <sstream>
#include <utility>

#include "foxquay/settings/reader.h"

namespace foxquay::settings {
namespace internal {

/// Largest number of second sends per request: beyond it they are load of their
/// own rather than a remedy for slow answers.
constexpr double kMaxHedgingRatio = 0.2;

/// Returns the node at a path, or its closest existing ancestor.
YAML::Node NearestNode(const YAML::Node& root,
                       std::initializer_list<const char*> path) {
  YAML::Node node = root;
  for (const char* key : path) {
    if (!node.IsMap()) break;
    const YAML::Node child = std::as_const(node)[key];
    if (!child.IsDefined()) break;
    node.reset(child);
  }
  return node;
}

/// Checks the rules that involve several keys, and the name of the log level.
class CrossFieldRules {
 public:
  CrossFieldRules(const YAML::Node& root, std::string file, Loaded& loaded)
      : root_(root), file_(std::move(file)), loaded_(loaded) {}

  void Check() {
    CheckDataFolder();
    CheckControl();
    CheckSecurity();
    CheckPeers();
    CheckListeners();
    CheckHedging();
    CheckLogLevel();
    CheckModelUse();
  }

 private:
  void Add(const YAML::Node& node, std::string path, std::string message) {
    loaded_.findings.push_back(
        {file_, node.Mark().line + 1, std::move(path), std::move(message)});
  }

  void CheckDataFolder() {
    const schema::HostSettings& host = loaded_.settings.host;
    const bool needs_data_folder =
        std::any_of(host.roles.begin(), host.roles.end(),
                    [](schema::Role r) { return r != schema::Role::kEntry; });
    if (needs_data_folder && host.data_folder.empty()) {
      Add(NearestNode(root_, {"host"}), "host.data_folder",
          "required for the roles control and standby");
    }
  }

  void CheckControl() {
    const auto& roles = loaded_.settings.host.roles;
    const auto& peers = loaded_.settings.peers;
    const bool self_controls = std::find(roles.begin(), roles.end(),
                                         schema::Role::kControl) != roles.end();
    const bool peer_controls =
        std::any_of(peers.begin(), peers.end(),
                    [](const schema::PeerSettings& p) { return p.control; });
    if (!self_controls && !peer_controls &&
        loaded_.settings.join.seeds.empty()) {
      Add(NearestNode(root_, {"host", "roles"}), "host.roles",
          "no host has the role control: give it to this one, set control: "
          "true on a peer or name join.seeds");
    }
  }

  void CheckSecurity() {
    const schema::SecuritySettings& security = loaded_.settings.security;
    if (security.open) return;
    const auto require = [this](const char* key, const std::string& file) {
      if (!file.empty()) return;
      Add(NearestNode(root_, {"security"}), std::string("security.") + key,
          "required unless security.open is true");
    };
    require("peer_key_file", security.peer_key_file);
    require("operator_token_file", security.operator_token_file);
  }

  void CheckPeers() {
    std::set<core::HostId> ids{loaded_.settings.host.id};
    std::set<std::string> addresses{loaded_.settings.listeners.peer};
    std::size_t index = 0;
    for (const schema::PeerSettings& peer : loaded_.settings.peers) {
      const std::string path = "peers[" + std::to_string(index) + "]";
      const YAML::Node node = root_["peers"][index++];
      if (!ids.insert(peer.id).second) {
        Add(NearestNode(node, {"id"}), path + ".id",
            "duplicate host id '" + peer.id.value() + "'");
      }
      if (!addresses.insert(peer.address).second) {
        Add(NearestNode(node, {"address"}), path + ".address",
            "duplicate address '" + peer.address + "'");
      }
    }
  }

  void CheckListeners() {
    const schema::ListenerSettings& listeners = loaded_.settings.listeners;
    const std::array<std::pair<const char*, const std::string*>, 4> all{
        {{"caller", &listeners.caller},
         {"upstream", &listeners.upstream},
         {"admin", &listeners.admin},
         {"peer", &listeners.peer}}};
    std::set<std::string> seen;
    for (const auto& [name, address] : all) {
      if (!address->empty() && !seen.insert(*address).second) {
        Add(NearestNode(root_, {"listeners", name}),
            std::string("listeners.") + name,
            "address is already used by another listener");
      }
    }
  }

  void CheckModelUse() {
    const double use = loaded_.settings.limits.model_use;
    if (use >= 0 && use <= 1) return;
    Add(NearestNode(root_, {"limits", "model_use"}), "limits.model_use",
        "expected a number from 0 to 1");
  }

  void CheckHedging() {
    const double ratio = loaded_.settings.hedging.ratio;
    if (ratio >= 0 && ratio <= kMaxHedgingRatio) return;
    Add(NearestNode(root_, {"hedging", "ratio"}), "hedging.ratio",
        "expected a number from 0 to 0.2");
  }

  void CheckLogLevel() {
    static const std::set<std::string> kLevels{"debug", "info", "warn",
                                               "error"};
    if (!kLevels.contains(loaded_.settings.log.level)) {
      Add(NearestNode(root_, {"log", "level"}), "log.level",
          "expected debug, info, warn or error");
    }
  }

  const YAML::Node& root_;
  std::string file_;
  Loaded& loaded_;
};

}  // namespace internal

Loaded Parse(const std::string& text, const std::string& file) {
  Loaded loaded;
  YAML::Node root;
  try {
    root = YAML::Load(text);
  } catch (const YAML::Exception& error) {
    loaded.findings.push_back({file, error.mark.line + 1, "", error.msg});
    return loaded;
  }
  internal::Reader reader(root, file, "", loaded.findings);
  internal::Read(reader, loaded.settings);
  if (root.IsMap()) internal::CrossFieldRules(root, file, loaded).Check();
  std::stable_sort(loaded.findings.begin(), loaded.findings.end(),
                   [](const core::Finding& left, const core::Finding& right) {
                     return left.line < right.line;
                   });
  return loaded;
}

void ReadEnvironment(Loaded& loaded) {
  const char* catch_up = std::getenv(kCatchUpVariable);
  if (catch_up == nullptr || *catch_up == '\0') return;
  internal::Reader reader(YAML::Node(std::string(catch_up) + "s"),
                          "environment", kCatchUpVariable, loaded.findings);
  reader.ReadDuration(loaded.settings.join.catch_up);
}

Loaded Load(const std::string& file) {
  std::ifstream in(file);
  if (!in) {
    Loaded loaded;
    loaded.findings.push_back({file, 0, "", "cannot open the file"});
    return loaded;
  }
  std::ostringstream text;
  text << in.rdbuf();
  Loaded loaded = Parse(text.str(), file);
  ReadEnvironment(loaded);
  return loaded;
}

}  // namespace foxquay::settings
