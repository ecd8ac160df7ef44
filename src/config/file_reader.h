// Reads complete configuration files.
#ifndef ALDERSILL_SRC_CONFIG_FILE_READER_H_
#define ALDERSILL_SRC_CONFIG_FILE_READER_H_

#include <cstddef>
#include <string>

namespace aldersill {

// Returns the content of the file. Stops within one block (4 KiB) after `max_bytes`, so that the caller can
// detect a file that is too long. Throws UnreadableFile if the file cannot be opened or read; the message is
// `error`, followed by the system's reason unless the file does not exist.
std::string ReadFile(const std::string& path, const std::string& error, std::size_t max_bytes);

// Returns whether the file does not exist. A file whose status cannot be read counts as existing, so that a
// later read reports the reason.
bool IsMissingFile(const std::string& path);

}  // namespace aldersill

#endif  // ALDERSILL_SRC_CONFIG_FILE_READER_H_
