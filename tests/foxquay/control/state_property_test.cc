#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "foxquay/control/state.h"
#include "foxquay/schema/codec.h"

namespace foxquay::control {
namespace {

using schema::ChangeResult;
using schema::ChangeStatus;
using Target = std::tuple<std::string, int, std::string>;

struct PlainConfig {
  std::map<std::string, std::int64_t> defaults;
  std::map<Target, std::pair<std::uint64_t, std::int64_t>> exceptions;

  friend bool operator==(const PlainConfig&, const PlainConfig&) = default;
};

struct FirstResult {
  std::string bytes;
  core::WallTime time;
  ChangeResult result;
};

/// Sequential model: the configuration of every revision and the first result
/// of every change.
struct Model {
  core::WallTime time{};  ///< Latest time of a log entry; starts as in State.
  std::vector<PlainConfig> revisions = {{}};
  std::vector<std::string> winners = {""};
  std::map<std::string, FirstResult> stored;

  [[nodiscard]] std::uint64_t revision() const { return revisions.size() - 1; }
};

struct Sut {
  State state;
  std::uint64_t index = 0;
};

using Command = rc::state::Command<Model, Sut>;

bool ValidValue(const std::string& key, std::int64_t value) {
  const auto spec = schema::FindPolicy(key);
  return spec && value >= spec->min && value <= spec->max;
}

bool Edit(const Model&, const schema::SetDefault& change, PlainConfig& config) {
  config.defaults[change.key] = change.value;
  return ValidValue(change.key, change.value);
}

bool Edit(const Model& model, const schema::AddException& change,
          PlainConfig& config) {
  const Target target(change.key, static_cast<int>(change.scope),
                      change.object);
  const bool added =
      config.exceptions
          .emplace(target, std::pair(model.revision() + 1, change.value))
          .second;
  return added && !change.reason.empty() &&
         ValidValue(change.key, change.value);
}

bool Edit(const Model&, const schema::RemoveException& change,
          PlainConfig& config) {
  return std::erase_if(config.exceptions, [&](const auto& item) {
           return item.second.first == change.exception;
         }) == 1;
}

bool Edit(const Model& model, const schema::Rollback& change,
          PlainConfig& config) {
  if (change.revision > model.revision()) return false;
  config = model.revisions[change.revision];
  return true;
}

PlainConfig ToPlainConfig(const Config& config) {
  PlainConfig plain;
  for (const schema::PolicySpec& spec : schema::kPolicySpecs) {
    const std::int64_t value =
        config.defaults()[static_cast<std::size_t>(spec.key)];
    if (value != spec.initial) plain.defaults[std::string(spec.name)] = value;
  }
  for (const auto& [id, item] : config.exceptions()) {
    plain.exceptions[{std::string(schema::kPolicySpecs[item.key].name),
                      static_cast<int>(item.scope), item.object}] = {
        id, item.value};
  }
  return plain;
}

/// Submits a new change or resends an earlier one after some time.
struct Submit : Command {
  schema::ControlCommand command;
  std::chrono::hours step{0};

  explicit Submit(const Model& model) {
    step = std::chrono::hours(*rc::gen::weightedElement<int>(
        {{20, 0}, {4, -5}, {4, 30}, {1, 24 * 7}}));
    const auto id = "c" + std::to_string(*rc::gen::inRange(0, 40));
    const auto stored = model.stored.find(id);
    if (stored != model.stored.end() && *rc::gen::inRange(0, 4) > 0) {
      command =
          schema::Decode<schema::ControlCommand>(stored->second.bytes).value();
      return;
    }
    const std::uint64_t lag =
        *rc::gen::weightedElement<std::uint64_t>({{6, 0}, {2, 1}, {1, 3}});
    const std::uint64_t expected =
        model.revision() >= lag ? model.revision() - lag : 7;
    const schema::ChangeHeader header{id, expected, "ada"};
    const std::string key = *rc::gen::element<std::string>(
        "retry.budget", "leg.max_tokens", "upstream.enabled", "no.such.key");
    const auto value = *rc::gen::inRange<std::int64_t>(-1, 104);
    const auto revision =
        *rc::gen::inRange<std::uint64_t>(0, model.revision() + 2);
    switch (*rc::gen::inRange(0, 5)) {
      case 0:
      case 1:
        command = schema::SetDefault{header, key, value};
        break;
      case 2:
        command = schema::AddException{
            header,
            key,
            schema::ExceptionScope::kModel,
            *rc::gen::element<std::string>("m1", "m2"),
            value,
            *rc::gen::element<std::string>("", "why", "because")};
        break;
      case 3:
        command = schema::RemoveException{header, revision, "done"};
        break;
      default:
        command = schema::Rollback{header, revision};
    }
  }

  [[nodiscard]] ChangeResult Expect(Model& model) const {
    return std::visit(
        [&](const auto& change) -> ChangeResult {
          if constexpr (requires { change.header; }) {
            return Decide(model, change, change.header);
          }
          return {};
        },
        command);
  }

  template <class Change>
  ChangeResult Decide(Model& model, const Change& change,
                      const schema::ChangeHeader& header) const {
    model.time = std::max(model.time, model.time + step);
    std::erase_if(model.stored, [&](const auto& item) {
      return model.time - item.second.time > std::chrono::days(7);
    });
    const std::string bytes = schema::Encode(command);
    const auto stored = model.stored.find(header.change);
    ChangeResult result;
    result.change = header.change;
    result.revision = model.revision();
    if (stored != model.stored.end()) {
      if (stored->second.bytes == bytes) return stored->second.result;
      result.status = ChangeStatus::kReused;
      return result;
    }
    PlainConfig edited = model.revisions.back();
    const bool valid = Edit(model, change, edited);
    if (header.expected_revision != model.revision()) {
      result.status = ChangeStatus::kConflict;
      const std::uint64_t next = header.expected_revision + 1;
      if (next < model.winners.size()) result.winner = model.winners[next];
    } else if (!valid) {
      result.status = ChangeStatus::kInvalid;
    } else {
      for (const schema::PolicySpec& spec : schema::kPolicySpecs) {
        const auto set = edited.defaults.find(std::string(spec.name));
        if (set != edited.defaults.end() && set->second == spec.initial) {
          edited.defaults.erase(set);
        }
      }
      model.revisions.push_back(edited);
      model.winners.push_back(header.change);
      result.revision = model.revision();
    }
    model.stored[header.change] = {bytes, model.time, result};
    return result;
  }

  void apply(Model& model) const override { (void)Expect(model); }

  void run(const Model& before, Sut& sut) const override {
    Model model = before;
    const ChangeResult expected = Expect(model);
    const auto actual = std::get<ChangeResult>(sut.state.Apply(
        ++sut.index, before.time + step, schema::Encode(command)));
    RC_ASSERT(actual.status == expected.status);
    RC_ASSERT(actual.revision == expected.revision);
    RC_ASSERT(actual.winner == expected.winner);
    RC_ASSERT((actual.status == ChangeStatus::kInvalid) <=
              !actual.findings.empty());
    RC_ASSERT(sut.state.config().revision() == model.revision());
    RC_ASSERT(ToPlainConfig(sut.state.config()) == model.revisions.back());
  }

  void show(std::ostream& out) const override {
    out << "Submit " << command.index() << " after " << step.count() << " h";
  }
};

/// Restarts the replica from its snapshot.
struct Restart : Command {
  void run(const Model&, Sut& sut) const override {
    const auto restored = State::FromSnapshot(sut.state.Snapshot());
    RC_ASSERT(restored.has_value());
    RC_ASSERT(restored.value().config() == sut.state.config());
    RC_ASSERT(restored.value().index() == sut.index);
    sut.state = restored.value();
  }
  void show(std::ostream& out) const override { out << "Restart"; }
};

// Guards against a resent change that is applied twice or gets another result,
// two changes accepted for one revision, and a restart or rollback that
// modifies the history.
TEST_CASE("operators' changes match a sequential model", "[fuzz]") {
  REQUIRE(rc::check([] {
    Sut sut;
    rc::state::check(
        Model(), sut,
        rc::state::gen::execOneOfWithArgs<Submit, Submit, Submit, Restart>());
  }));
}

}  // namespace
}  // namespace foxquay::control
