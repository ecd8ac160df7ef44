// Configuration errors. Each message names the invalid field and what the operator can do about it.
#ifndef ALDERSILL_SRC_CONFIG_ERRORS_H_
#define ALDERSILL_SRC_CONFIG_ERRORS_H_

#include <stdexcept>
#include <string>
#include <utility>

namespace aldersill {

// Base class of the configuration errors. what() is one line for the operator, with the invalid field and, if
// known, the accepted values.
class ConfigError : public std::runtime_error {
 public:
  explicit ConfigError(const std::string& message) : ConfigError("bad_configuration", "", message) {}

  // A stable identifier of the kind of error.
  const char* code() const { return code_; }
  // The path of the invalid field; empty if the error does not concern a single field.
  const std::string& path() const { return path_; }

 protected:
  ConfigError(const char* code, std::string path, const std::string& message)
      : std::runtime_error(message), code_(code), path_(std::move(path)) {}

 private:
  const char* code_;
  std::string path_;
};

// A file could not be opened or read completely. A retry may succeed.
class UnreadableFile : public ConfigError {
 public:
  explicit UnreadableFile(const std::string& message) : ConfigError("unreadable_file", "", message) {}
};

// A required field is absent.
class MissingField : public ConfigError {
 public:
  MissingField(std::string path, const std::string& message)
      : ConfigError("missing_field", std::move(path), message) {}
};

// The operator's file has a field that does not exist. Unknown fields of the platform's file are logged and
// are not errors, because the platform may add fields.
class UnknownField : public ConfigError {
 public:
  UnknownField(std::string path, const std::string& message)
      : ConfigError("unknown_field", std::move(path), message) {}
};

// A field's value has the wrong type or is out of range.
class BadValue : public ConfigError {
 public:
  BadValue(std::string path, const std::string& message)
      : ConfigError("bad_value", std::move(path), message) {}
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_CONFIG_ERRORS_H_
