// Helpers for the decoders of the platform's JSON messages.
#ifndef ALDERSILL_SRC_NET_JSON_MESSAGE_H_
#define ALDERSILL_SRC_NET_JSON_MESSAGE_H_

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <string_view>

namespace aldersill {

// Thrown for a message that cannot be decoded; the text says what is wrong with it.
class BadMessage : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Parses a JSON object; throws BadMessage for any other text.
nlohmann::json ParseObject(std::string_view text);
// Return the field `name` of a JSON object, or `fallback` if it is missing. Throw BadMessage if the field has
// another type, or if it is missing and there is no fallback.
std::string TextOf(const nlohmann::json& json, const char* name, const char* fallback = nullptr);
double NumberOf(const nlohmann::json& json, const char* name, double fallback);

}  // namespace aldersill

#endif  // ALDERSILL_SRC_NET_JSON_MESSAGE_H_
