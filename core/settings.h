#ifndef CORE_SETTINGS_H_
#define CORE_SETTINGS_H_

#include <map>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/result.h"

namespace shallot {

/// One section of an INI text, with its keys in order of name.
struct IniSection {
  std::string name;
  std::map<std::string, std::string> values;

  bool operator==(const IniSection&) const = default;
};

/// An INI text as sections in order of appearance.
struct IniDocument {
  /// Named in errors: the file, or for example "config/head".
  std::string source;
  std::vector<IniSection> sections;

  /// Null when there is no such section.
  const IniSection* Find(const std::string& section) const;
};

/// Parses INI text (Boost.PropertyTree, which rejects duplicate keys and names the line).
Result<IniDocument> ParseIni(const std::string& text, const std::string& source);
/// Reads and parses a file.
Result<IniDocument> LoadIni(const std::string& path);
std::string FormatIni(const IniDocument& document);

/// Reads the keys of one section and checks each. The first error is kept; after all keys were
/// read, Finish() also reports keys that nothing asked for.
class SectionReader {
 public:
  /// `section` null: the section is missing, which is the first error unless `optional`.
  SectionReader(const IniDocument& document, const std::string& section, bool optional = false);

  /// Missing key without a default: an error that names the key.
  std::string GetString(const std::string& key);
  std::string GetString(const std::string& key, const std::string& default_value);
  uint64_t GetUint(const std::string& key, uint64_t default_value, uint64_t min, uint64_t max);
  double GetDouble(const std::string& key, double default_value, double min, double max);
  bool GetBool(const std::string& key, bool default_value);
  /// Whole milliseconds.
  Millis GetMillis(const std::string& key, Millis default_value, Millis min, Millis max);
  /// One of `choices`.
  std::string GetChoice(const std::string& key, const std::string& default_value,
                        const std::vector<std::string>& choices);
  /// "IP:port".
  std::string GetAddress(const std::string& key);

  bool present() const { return section_ != nullptr; }
  /// The first error, if any; else an error for the first unknown key, if any.
  Status Finish();
  /// Records an error of the caller's own about `key`.
  void Fail(const std::string& key, const std::string& problem, const std::string& remedy);

 private:
  const std::string* Raw(const std::string& key);

  const IniDocument& document_;
  std::string name_;
  const IniSection* section_ = nullptr;
  std::vector<std::string> known_keys_;
  Status status_ = OkStatus();
};

}  // namespace shallot

#endif  // CORE_SETTINGS_H_
