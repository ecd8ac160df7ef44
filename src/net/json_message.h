// What the decoders of the platform's JSON messages share.
#ifndef ALDERSILL_SRC_NET_JSON_MESSAGE_H_
#define ALDERSILL_SRC_NET_JSON_MESSAGE_H_

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <string_view>

namespace aldersill {

// A peer's message that makes no sense; the text says what is wrong with it.
class BadMessage : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Each throws BadMessage that names what is wrong. Without a fallback the field must be there.
nlohmann::json ParseObject(std::string_view text);
std::string TextOf(const nlohmann::json& json, const char* name, const char* fallback = nullptr);
double NumberOf(const nlohmann::json& json, const char* name, double fallback);

}  // namespace aldersill

#endif  // ALDERSILL_SRC_NET_JSON_MESSAGE_H_
