#include "core/settings.h"

#include <algorithm>
#include <boost/algorithm/string/trim.hpp>
#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>
#include <charconv>
#include <fstream>
#include <sstream>
#include <system_error>

namespace shallot {
namespace {

std::string Join(const std::vector<std::string>& words) {
  std::string text;
  for (const std::string& word : words) text += (text.empty() ? "" : ", ") + word;
  return text;
}

bool IsIpv4(const std::string& text) {
  std::istringstream stream(text);
  std::string part;
  int parts = 0;
  while (std::getline(stream, part, '.')) {
    int value = -1;
    const auto [end, error] = std::from_chars(part.data(), part.data() + part.size(), value);
    if (error != std::errc() || end != part.data() + part.size()) return false;
    if (value < 0 || value > 255) return false;
    ++parts;
  }
  return parts == 4;
}

bool IsAddress(const std::string& text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos || !IsIpv4(text.substr(0, colon))) return false;
  int port = 0;
  const char* begin = text.data() + colon + 1;
  const auto [end, error] = std::from_chars(begin, text.data() + text.size(), port);
  return error == std::errc() && end == text.data() + text.size() && port > 0 && port < 65536;
}

/// Names of all sections of a valid INI text, read here because Boost's parser drops sections
/// without keys.
std::vector<std::string> SectionNames(const std::string& text) {
  std::istringstream stream(text);
  std::vector<std::string> names;
  for (std::string line; std::getline(stream, line);) {
    boost::algorithm::trim(line);
    const size_t end = line.find(']');
    if (line.empty() || line[0] != '[' || end == std::string::npos) continue;
    std::string name = line.substr(1, end - 1);
    boost::algorithm::trim(name);
    if (std::find(names.begin(), names.end(), name) == names.end()) names.push_back(name);
  }
  return names;
}

}  // namespace

const IniSection* IniDocument::Find(const std::string& section) const {
  for (const IniSection& candidate : sections) {
    if (candidate.name == section) return &candidate;
  }
  return nullptr;
}

Result<IniDocument> ParseIni(const std::string& text, const std::string& source) {
  namespace pt = boost::property_tree;
  pt::ptree tree;
  std::istringstream stream(text);
  try {
    pt::read_ini(stream, tree);
  } catch (const pt::ini_parser_error& error) {
    return Error{ErrorKind::kInvalidArgument,
                 source + " line " + std::to_string(error.line()) + ": " + error.message(),
                 "write \"[section]\" lines and \"key = value\" lines, each key once"};
  }
  for (const auto& [name, node] : tree) {
    if (!node.empty() || node.data().empty()) continue;
    return Error{ErrorKind::kInvalidArgument, source + ": key \"" + name + "\" is in no section",
                 "move it below a \"[section]\" line"};
  }
  IniDocument document;
  document.source = source;
  for (const std::string& name : SectionNames(text)) {
    IniSection section{name, {}};
    const auto node = tree.find(name);
    if (node != tree.not_found()) {
      for (const auto& [key, value] : node->second) section.values[key] = value.data();
    }
    document.sections.push_back(std::move(section));
  }
  return document;
}

Result<IniDocument> LoadIni(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return Error{ErrorKind::kNotFound, "settings file \"" + path + "\" cannot be read",
                 "check the path and the permissions"};
  }
  std::ostringstream text;
  text << file.rdbuf();
  return ParseIni(text.str(), path);
}

std::string FormatIni(const IniDocument& document) {
  std::string text;
  for (const IniSection& section : document.sections) {
    if (!text.empty()) text += "\n";
    text += "[" + section.name + "]\n";
    for (const auto& [key, value] : section.values) text += key + " = " + value + "\n";
  }
  return text;
}

SectionReader::SectionReader(const IniDocument& document, const std::string& section, bool optional)
    : document_(document), name_(section), section_(document.Find(section)) {
  if (section_ != nullptr || optional) return;
  status_ =
      Error{ErrorKind::kInvalidArgument, document.source + ": section [" + section + "] is missing",
            "add the section with its keys"};
}

const std::string* SectionReader::Raw(const std::string& key) {
  known_keys_.push_back(key);
  if (section_ == nullptr) return nullptr;
  const auto it = section_->values.find(key);
  return it == section_->values.end() ? nullptr : &it->second;
}

void SectionReader::Fail(const std::string& key, const std::string& problem,
                         const std::string& remedy) {
  if (!IsOk(status_)) return;
  status_ = Error{ErrorKind::kInvalidArgument,
                  document_.source + ": section [" + name_ + "], key \"" + key + "\": " + problem,
                  remedy};
}

std::string SectionReader::GetString(const std::string& key) {
  const std::string* raw = Raw(key);
  if (raw == nullptr || raw->empty()) {
    Fail(key, "is missing", "add \"" + key + " = VALUE\"");
    return "";
  }
  return *raw;
}

std::string SectionReader::GetString(const std::string& key, const std::string& default_value) {
  const std::string* raw = Raw(key);
  return raw == nullptr ? default_value : *raw;
}

uint64_t SectionReader::GetUint(const std::string& key, uint64_t default_value, uint64_t min,
                                uint64_t max) {
  const std::string* raw = Raw(key);
  if (raw == nullptr) return default_value;
  uint64_t value = 0;
  const auto [end, error] = std::from_chars(raw->data(), raw->data() + raw->size(), value);
  const bool parsed = error == std::errc() && end == raw->data() + raw->size();
  if (!parsed || value < min || value > max) {
    Fail(key, "\"" + *raw + "\" is not valid",
         "use a whole number from " + std::to_string(min) + " to " + std::to_string(max));
    return default_value;
  }
  return value;
}

double SectionReader::GetDouble(const std::string& key, double default_value, double min,
                                double max) {
  const std::string* raw = Raw(key);
  if (raw == nullptr) return default_value;
  double value = 0;
  const auto [end, error] = std::from_chars(raw->data(), raw->data() + raw->size(), value);
  const bool parsed = error == std::errc() && end == raw->data() + raw->size();
  if (!parsed || !(value >= min && value <= max)) {
    std::ostringstream remedy;
    remedy << "use a number from " << min << " to " << max;
    Fail(key, "\"" + *raw + "\" is not valid", remedy.str());
    return default_value;
  }
  return value;
}

bool SectionReader::GetBool(const std::string& key, bool default_value) {
  const std::string choice = GetChoice(key, default_value ? "true" : "false", {"true", "false"});
  return choice == "true";
}

Millis SectionReader::GetMillis(const std::string& key, Millis default_value, Millis min,
                                Millis max) {
  return Millis(GetUint(key, static_cast<uint64_t>(default_value.count()),
                        static_cast<uint64_t>(min.count()), static_cast<uint64_t>(max.count())));
}

std::string SectionReader::GetChoice(const std::string& key, const std::string& default_value,
                                     const std::vector<std::string>& choices) {
  const std::string* raw = Raw(key);
  if (raw == nullptr) return default_value;
  if (std::find(choices.begin(), choices.end(), *raw) == choices.end()) {
    Fail(key, "\"" + *raw + "\" is not valid", "use one of: " + Join(choices));
    return default_value;
  }
  return *raw;
}

std::string SectionReader::GetAddress(const std::string& key) {
  std::string text = GetString(key);
  if (!text.empty() && !IsAddress(text)) {
    Fail(key, "\"" + text + "\" is not an address", "use IP:port, for example 127.0.0.1:9000");
  }
  return text;
}

Status SectionReader::Finish() {
  if (!IsOk(status_) || section_ == nullptr) return status_;
  for (const auto& [key, value] : section_->values) {
    if (std::find(known_keys_.begin(), known_keys_.end(), key) != known_keys_.end()) continue;
    Fail(key, "is unknown", "remove it or use one of: " + Join(known_keys_));
    break;
  }
  return status_;
}

}  // namespace shallot
