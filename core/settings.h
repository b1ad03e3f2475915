#ifndef CORE_SETTINGS_H_
#define CORE_SETTINGS_H_

#include <map>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/result.h"

namespace shallot {

/// One section of an INI text; the keys are sorted by name.
struct IniSection {
  std::string name;
  std::map<std::string, std::string> values;

  bool operator==(const IniSection&) const = default;
};

/// A parsed INI text; the sections are in order of appearance.
struct IniDocument {
  /// Origin of the text, named in errors: the path of a file, or a key such as "config/head".
  std::string source;
  std::vector<IniSection> sections;

  /// Null when there is no such section.
  const IniSection* Find(const std::string& section) const;
};

/// Parses INI text with Boost.PropertyTree. Rejects duplicate keys; syntax errors name the line.
/// `source` is named in errors.
Result<IniDocument> ParseIni(const std::string& text, const std::string& source);
/// Reads and parses a file.
Result<IniDocument> LoadIni(const std::string& path);
std::string FormatIni(const IniDocument& document);

/// Reads and validates the keys of one section. Keeps the first error; Finish(), called after all
/// keys were read, also reports keys that no call has read. The document must outlive the reader.
class SectionReader {
 public:
  /// A missing section is recorded as the first error unless it is `optional`.
  SectionReader(const IniDocument& document, const std::string& section, bool optional = false);

  /// Records an error that names the key when it is missing or empty.
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
  /// An IPv4 address with a port, as "IP:port"; required.
  std::string GetAddress(const std::string& key);

  bool present() const { return section_ != nullptr; }
  /// The first error, if any; else an error for the first unknown key, if any.
  Status Finish();
  /// Records an error that the caller found in the value of `key`, unless there is one already.
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
