#include <yaml-cpp/yaml.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "foxquay/settings/settings.h"

namespace foxquay::settings {
namespace {

/// Keys and indices from the root to a node.
using Path = std::vector<std::string>;

YAML::Node Child(const YAML::Node& node, const std::string& step) {
  return node.IsSequence() ? node[std::stoul(step)] : node[step];
}

void Collect(const YAML::Node& node, const Path& path,
             std::vector<Path>& paths) {
  if (!path.empty()) paths.push_back(path);
  Path below = path;
  below.emplace_back();
  if (node.IsMap()) {
    for (const auto& entry : node) {
      below.back() = entry.first.as<std::string>();
      Collect(entry.second, below, paths);
    }
  }
  for (std::size_t index = 0; node.IsSequence() && index < node.size();
       ++index) {
    below.back() = std::to_string(index);
    Collect(node[index], below, paths);
  }
}

using Change = std::function<void(YAML::Node parent, const std::string& step)>;

/// Returns the file's text with one node changed.
std::string Mutate(const std::string& file, const Path& path,
                   const Change& change) {
  const YAML::Node root = YAML::LoadFile(file);
  YAML::Node parent = root;
  for (std::size_t depth = 0; depth + 1 < path.size(); ++depth) {
    parent.reset(Child(parent, path[depth]));
  }
  change(parent, path.back());
  return YAML::Dump(root);
}

void Remove(YAML::Node parent, const std::string& step) {
  if (parent.IsSequence()) {
    parent.remove(std::stoul(step));
  } else {
    parent.remove(step);
  }
}

void Put(YAML::Node parent, const std::string& step, const YAML::Node& value) {
  if (parent.IsSequence()) {
    parent[std::stoul(step)] = value;
  } else {
    parent[step] = value;
  }
}

std::vector<std::string> Examples() {
  std::vector<std::string> files;
  for (const char* name : {"azraq", "kellerup"}) {
    const std::filesystem::directory_iterator folder(
        std::filesystem::path(FOXQUAY_EXAMPLES) / name);
    for (const auto& entry : folder) files.push_back(entry.path().string());
  }
  return files;
}

}  // namespace

// Guards against a file that crashes the process instead of producing findings,
// as the single line `nonsense: 1` once did.
TEST_CASE("a file without the required sections produces findings") {
  const std::string text =
      GENERATE("nonsense: 1", "", "- a", "a", "host: 1", "host: {roles: 1}",
               "peers: [1, [], {}]", "listeners: {caller: {}}", "log: []");
  CAPTURE(text);
  CHECK_FALSE(Parse(text, "file.yaml").findings.empty());
}

// Guards against a wrong key that is not reported or crashes the process.
TEST_CASE(
    "misspelt keys and wrong types produce findings, removed keys no "
    "exception") {
  for (const std::string& file : Examples()) {
    std::vector<Path> paths;
    Collect(YAML::LoadFile(file), {}, paths);
    REQUIRE(paths.size() > 20);
    for (const Path& path : paths) {
      std::string place = file;
      for (const std::string& step : path) place += " " + step;
      CAPTURE(place);
      CHECK_NOTHROW(Parse(Mutate(file, path, Remove), file));
      const auto retyped = [](const YAML::Node& parent,
                              const std::string& step) {
        const bool scalar = Child(parent, step).IsScalar();
        YAML::Node other(scalar ? YAML::NodeType::Map
                                : YAML::NodeType::Undefined);
        if (!scalar) other = "text";
        Put(parent, step, other);
      };
      CHECK_FALSE(Parse(Mutate(file, path, retyped), file).findings.empty());
      const auto misspelt = [](YAML::Node parent, const std::string& step) {
        if (!parent.IsMap()) return;
        parent[step + "x"] = parent[step];
        parent.remove(step);
      };
      const bool key =
          path.back().find_first_not_of("0123456789") != std::string::npos;
      if (key) {
        CHECK_FALSE(Parse(Mutate(file, path, misspelt), file).findings.empty());
      }
    }
  }
}

}  // namespace foxquay::settings
