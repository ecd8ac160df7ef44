// Reading of typed values from JSON; each error names the field by its path.
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

// A JSON value, or the absence of one, with its path. Does not own the JSON, which must outlive it. Reading
// throws MissingField or BadValue. A null value counts as absent, and an absent value reads as the fallback.
class JsonField {
 public:
  JsonField(const nlohmann::json* json, std::string path) : json_(json), path_(std::move(path)) {}

  // The member of that name. Every member of an absent object is absent.
  JsonField operator[](const std::string& name) const;
  // The items of a list; none if it is absent.
  std::vector<JsonField> Items() const;

  const std::string& path() const { return path_; }
  bool present() const { return json_ != nullptr; }
  // Only if present.
  const nlohmann::json& json() const { return *json_; }

  // Throw the error that `problem` or `wanted` completes to a sentence.
  [[noreturn]] void ThrowBadValue(const std::string& problem) const;
  [[noreturn]] void ThrowMissing(const std::string& wanted) const;

  // This field; throws MissingField if it is absent.
  const JsonField& Required(const std::string& wanted) const;

  std::string Text() const;
  std::string Text(const std::string& fallback) const;
  bool Bool(bool fallback) const;
  double Number(double fallback) const;
  double NonNegative(double fallback) const;
  // Between 0 and 1.
  double Fraction(double fallback) const;
  // Rounded to the nearest integer.
  std::int64_t Integer(std::int64_t fallback) const;
  int Int(int fallback) const;
  int IntAtLeast(int minimum, int fallback) const;
  // Microseconds.
  std::int64_t Duration(std::int64_t fallback) const;
  std::int64_t PositiveDuration(std::int64_t fallback) const;

 private:
  const nlohmann::json* json_;
  std::string path_;
};

// A word of the configuration and the value it stands for.
template <typename T>
using Choice = std::pair<const char*, T>;

// The value of the word that the field holds. `fallback`: the word if it is absent; empty if it is required.
template <typename T>
T ReadChoice(const JsonField& field, const std::string& fallback, std::initializer_list<Choice<T>> choices) {
  std::vector<std::string> accepted;
  for (const auto& [word, value] : choices)
    accepted.push_back(word);
  if (fallback.empty())
    field.Required("one of " + Listed(accepted));
  const std::string text = field.Text(fallback);
  for (const auto& [word, value] : choices) {
    if (text == word)
      return value;
  }
  const std::string near = NearName(text, accepted);
  field.ThrowBadValue("must be one of " + Listed(accepted) + ", not '" + text + "'" +
                      (near.empty() ? "" : ": did you mean '" + near + "'?"));
}

}  // namespace aldersill

#endif  // ALDERSILL_SRC_CONFIG_JSON_FIELD_H_
