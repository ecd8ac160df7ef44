// Access to environment variables.
#ifndef ALDERSILL_SRC_CONFIG_ENVIRONMENT_H_
#define ALDERSILL_SRC_CONFIG_ENVIRONMENT_H_

#include <cstdlib>
#include <string>

namespace aldersill {

// Returns the variable's value, or `fallback` if it is unset or empty.
inline std::string ReadEnvironment(const char* name, const std::string& fallback) {
  const char* value = std::getenv(name);
  return value != nullptr && *value != '\0' ? value : fallback;
}

}  // namespace aldersill

#endif  // ALDERSILL_SRC_CONFIG_ENVIRONMENT_H_
