// Reads typed values from JSON. Each error names the field by its path.
#ifndef ALDERSILL_SRC_CONFIG_JSON_FIELD_H_
#define ALDERSILL_SRC_CONFIG_JSON_FIELD_H_

#include <cstdint>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "config/near_name.h"

namespace aldersill {

// A JSON value that may be absent, together with its path. It refers to the JSON document, which must outlive
// it. Accessors throw MissingField or BadValue. A null value counts as absent, and the accessors return
// `fallback` for an absent value.
class JsonField {
 public:
  JsonField(const nlohmann::json* json, std::string path) : json_(json), path_(std::move(path)) {}

  // Returns the member with this name. Every member of an absent object is absent.
  JsonField operator[](const std::string& name) const;
  // Returns the items of a list; empty if the list is absent.
  std::vector<JsonField> Items() const;

  const std::string& path() const { return path_; }
  bool present() const { return json_ != nullptr; }
  // Must be called only if present().
  const nlohmann::json& json() const { return *json_; }

  // Throws BadValue with the message "PATH PROBLEM".
  [[noreturn]] void ThrowBadValue(const std::string& problem) const;
  // Throws MissingField with the message "PATH is missing: it must be WANTED".
  [[noreturn]] void ThrowMissing(const std::string& wanted) const;

  // Returns this field; throws MissingField if it is absent.
  const JsonField& Required(const std::string& wanted) const;

  std::string Text() const;
  std::string Text(const std::string& fallback) const;
  bool Bool(bool fallback) const;
  double Number(double fallback) const;
  double NonNegative(double fallback) const;
  // A number from 0 to 1.
  double Fraction(double fallback) const;
  // Rounded to the nearest integer.
  std::int64_t Integer(std::int64_t fallback) const;
  int Int(int fallback) const;
  int IntAtLeast(int minimum, int fallback) const;
  // Times in microseconds.
  std::int64_t Duration(std::int64_t fallback) const;
  std::int64_t PositiveDuration(std::int64_t fallback) const;

 private:
  const nlohmann::json* json_;
  std::string path_;
};

// A keyword in the configuration and the value that it stands for.
template <typename T>
using Choice = std::pair<const char*, T>;

// Returns the value of the keyword in the field. `fallback` is the keyword for an absent field; if it is
// empty, the field is required.
template <typename T>
T ReadChoice(const JsonField& field, const std::string& fallback, std::initializer_list<Choice<T>> choices) {
  std::vector<std::string> accepted;
  for (const auto& [word, value] : choices)
    accepted.push_back(word);
  if (fallback.empty())
    field.Required("one of " + JoinNames(accepted));
  const std::string text = field.Text(fallback);
  for (const auto& [word, value] : choices) {
    if (text == word)
      return value;
  }
  const std::string near = NearName(text, accepted);
  field.ThrowBadValue("must be one of " + JoinNames(accepted) + ", not '" + text + "'" +
                      (near.empty() ? "" : ": did you mean '" + near + "'?"));
}

}  // namespace aldersill

#endif  // ALDERSILL_SRC_CONFIG_JSON_FIELD_H_
