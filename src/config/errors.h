// Errors of configuration: each names the field at fault and what an operator can do about it.
#ifndef ALDERSILL_SRC_CONFIG_ERRORS_H_
#define ALDERSILL_SRC_CONFIG_ERRORS_H_

#include <stdexcept>
#include <string>
#include <utility>

namespace aldersill {

// what() is one line for the operator: the field at fault and, if known, what is accepted.
class ConfigError : public std::runtime_error {
 public:
  explicit ConfigError(const std::string& message) : ConfigError("bad_configuration", "", message) {}

  // The kind of error in one published word.
  const char* code() const { return code_; }
  // The path of the field at fault; empty if the error is not a field's.
  const std::string& path() const { return path_; }

 protected:
  ConfigError(const char* code, std::string path, const std::string& message)
      : std::runtime_error(message), code_(code), path_(std::move(path)) {}

 private:
  const char* code_;
  std::string path_;
};

// A file could not be opened or read completely; the next try may succeed.
class UnreadableFile : public ConfigError {
 public:
  explicit UnreadableFile(const std::string& message) : ConfigError("unreadable_file", "", message) {}
};

// A required field is not there.
class MissingField : public ConfigError {
 public:
  MissingField(std::string path, const std::string& message)
      : ConfigError("missing_field", std::move(path), message) {}
};

// The operator's file has a field that does not exist. Unknown fields of the platform's file are no error:
// the platform may add fields, which are logged.
class UnknownField : public ConfigError {
 public:
  UnknownField(std::string path, const std::string& message)
      : ConfigError("unknown_field", std::move(path), message) {}
};

// A field's value is of the wrong type or out of range.
class BadValue : public ConfigError {
 public:
  BadValue(std::string path, const std::string& message)
      : ConfigError("bad_value", std::move(path), message) {}
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_CONFIG_ERRORS_H_
