// Parses one line of the simulator's text protocol: a tag, then name=value fields, all separated by tabs.
#ifndef ALDERSILL_SRC_SIMULATOR_ADAPTER_LINE_H_
#define ALDERSILL_SRC_SIMULATOR_ADAPTER_LINE_H_

#include <charconv>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>
#include <vector>

namespace aldersill::simulator_adapter {

// Thrown on malformed input. The message says what is malformed; Serve() adds the line number.
class FormatError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// The tag and the fields of one line, as views into the text it was parsed from, which must outlive it.
class Line {
 public:
  // Throws FormatError if a part after the tag has no '='.
  explicit Line(std::string_view text);

  std::string_view tag() const { return tag_; }
  // A field with an empty value counts as missing.
  bool Has(std::string_view name) const { return !Find(name).empty(); }
  // Text() and Int() throw FormatError if the field is missing or malformed. The others return `fallback` if
  // it is missing and throw only if it is malformed. Integers must not be negative; numbers must be finite.
  std::string_view Text(std::string_view name) const;
  std::string_view TextOr(std::string_view name, std::string_view fallback) const;
  std::int64_t Int(std::string_view name) const;
  std::int64_t IntOr(std::string_view name, std::int64_t fallback) const;
  double NumberOr(std::string_view name, double fallback) const;
  bool BoolOr(std::string_view name, bool fallback) const;

 private:
  // The value of the field, or an empty text if the line does not have it.
  std::string_view Find(std::string_view name) const;

  std::string_view tag_;
  std::vector<std::pair<std::string_view, std::string_view>> fields_;
};

// Throws FormatError with a message that names the field, its value and what was expected in its place.
[[noreturn]] void ThrowMalformed(std::string_view name, std::string_view value, std::string_view expected);

// Parses the whole value as a number of type T. Throws FormatError that names the field if it is malformed.
template <typename T>
T ParseAs(std::string_view name, std::string_view value, std::string_view expected) {
  T parsed{};
  const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), parsed);
  if (error != std::errc() || end != value.data() + value.size())
    ThrowMalformed(name, value, expected);
  return parsed;
}

// Like ParseAs<double>, but also rejects infinities and NaN.
double ParseNumber(std::string_view name, std::string_view value);

}  // namespace aldersill::simulator_adapter

#endif  // ALDERSILL_SRC_SIMULATOR_ADAPTER_LINE_H_
