// A line of the simulator's format: a tag, then tab-separated name=value fields.
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

// Malformed input; the text names what is wrong, the server adds the line number.
class FormatError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// One line: its tag and its fields, as views into the text that it was parsed from.
class Line {
 public:
  explicit Line(std::string_view text);

  std::string_view tag() const { return tag_; }
  bool Has(std::string_view name) const { return !Find(name).empty(); }
  // Required fields throw FormatError when missing or malformed; optional ones only when malformed.
  std::string_view Text(std::string_view name) const;
  std::string_view TextOr(std::string_view name, std::string_view fallback) const;
  std::int64_t Int(std::string_view name) const;
  std::int64_t IntOr(std::string_view name, std::int64_t fallback) const;
  double NumberOr(std::string_view name, double fallback) const;
  bool BoolOr(std::string_view name, bool fallback) const;

 private:
  std::string_view Find(std::string_view name) const;

  std::string_view tag_;
  std::vector<std::pair<std::string_view, std::string_view>> fields_;
};

// Throws FormatError: the field is not what was wanted.
[[noreturn]] void ThrowMalformed(std::string_view name, std::string_view value, std::string_view wanted);

// The whole value as a number; throws FormatError naming the field.
template <typename T>
T ParseAs(std::string_view name, std::string_view value, std::string_view wanted) {
  T parsed{};
  const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), parsed);
  if (error != std::errc() || end != value.data() + value.size())
    ThrowMalformed(name, value, wanted);
  return parsed;
}

// As ParseAs; infinities and NaN are malformed.
double ParseNumber(std::string_view name, std::string_view value);

}  // namespace aldersill::simulator_adapter

#endif  // ALDERSILL_SRC_SIMULATOR_ADAPTER_LINE_H_
