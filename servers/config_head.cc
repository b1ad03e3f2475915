#include "servers/config_head.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace shallot {
namespace {

using Json = nlohmann::json;

Error MalformedHead(const std::string& problem) {
  return Error{ErrorKind::kInvalidArgument, "config/head: " + problem,
               "read it with shallotctl config show and write it again with config apply"};
}

/// Reads a non-negative integer; throws Json::exception for anything else. get<uint64_t>() would
/// convert negative numbers and fractions, some of them with undefined behaviour.
ConfigRevision RevisionOf(const Json& json) {
  return ConfigRevision(json.get_ref<const Json::number_unsigned_t&>());
}

Json ToJson(const ConfigChange& change) {
  Json sections = Json::array();
  for (const SectionChange& section : change.sections) {
    Json item = {{"section", section.section}};
    if (section.removed) {
      item["removed"] = true;
    } else {
      item["values"] = section.values;
    }
    sections.push_back(std::move(item));
  }
  return {{"revision", change.revision.value()},
          {"id", change.id},
          {"author", change.author.value()},
          {"time", change.time},
          {"reason", change.reason},
          {"sections", std::move(sections)}};
}

ConfigChange ChangeFromJson(const Json& json) {
  ConfigChange change;
  change.revision = RevisionOf(json.at("revision"));
  change.id = json.at("id").get<std::string>();
  change.author = OperatorName(json.at("author").get<std::string>());
  change.time = json.at("time").get<std::string>();
  change.reason = json.at("reason").get<std::string>();
  for (const Json& item : json.at("sections")) {
    SectionChange section;
    section.section = item.at("section").get<std::string>();
    section.removed = item.value("removed", false);
    if (!section.removed) section.values = item.at("values").get<decltype(section.values)>();
    change.sections.push_back(std::move(section));
  }
  return change;
}

bool IsConsecutive(const ConfigHead& head) {
  ConfigRevision expected = std::max(head.snapshot, head.base);
  for (const ConfigChange& change : head.changes) {
    const ConfigRevision next = expected.Next();
    // Next() of the largest number is 0.
    if (next < expected || change.revision != next) return false;
    expected = next;
  }
  return expected == head.revision;
}

}  // namespace

Result<ConfigHead> ParseConfigHead(const std::string& text) {
  ConfigHead head;
  try {
    const Json json = Json::parse(text);
    head.revision = RevisionOf(json.at("revision"));
    head.snapshot = RevisionOf(json.at("snapshot"));
    if (json.contains("base")) head.base = RevisionOf(json.at("base"));
    for (const Json& change : json.at("changes")) head.changes.push_back(ChangeFromJson(change));
  } catch (const Json::exception& error) {
    return MalformedHead(error.what());
  }
  if (!IsConsecutive(head)) return MalformedHead("a change between two revisions is missing");
  return head;
}

std::string FormatConfigHead(const ConfigHead& head) {
  Json changes = Json::array();
  for (const ConfigChange& change : head.changes) changes.push_back(ToJson(change));
  Json json = {{"revision", head.revision.value()},
               {"snapshot", head.snapshot.value()},
               {"changes", std::move(changes)}};
  if (head.base != ConfigRevision(0)) json["base"] = head.base.value();
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

void ApplyChange(const ConfigChange& change, IniDocument* document) {
  for (const SectionChange& section : change.sections) {
    auto& sections = document->sections;
    const auto it = std::find_if(
        sections.begin(), sections.end(),
        [&](const IniSection& candidate) { return candidate.name == section.section; });
    if (section.removed) {
      if (it != sections.end()) sections.erase(it);
    } else if (it != sections.end()) {
      it->values = section.values;
    } else {
      sections.push_back(IniSection{section.section, section.values});
    }
  }
}

Result<IniDocument> BuildDocument(const ConfigHead& head, const std::string& snapshot,
                                  ConfigRevision revision) {
  if (revision < head.snapshot || revision > head.revision) {
    return Error{ErrorKind::kNotFound,
                 "config/head does not contain revision " + std::to_string(revision.value()),
                 "read the configuration again"};
  }
  Result<IniDocument> document =
      ParseIni(snapshot, "config/snapshot/" + std::to_string(head.snapshot.value()));
  if (!IsOk(document)) return ErrorOf(document);
  IniDocument built = ValueOf(std::move(document));
  for (const ConfigChange& change : head.changes) {
    if (change.revision <= revision) ApplyChange(change, &built);
  }
  built.source = "configuration revision " + std::to_string(revision.value());
  return built;
}

const char* EmptySnapshot() { return "; A fleet without a configuration.\n"; }

}  // namespace shallot
