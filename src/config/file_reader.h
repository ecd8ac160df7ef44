// Reads whole configuration files.
#ifndef ALDERSILL_SRC_CONFIG_FILE_READER_H_
#define ALDERSILL_SRC_CONFIG_FILE_READER_H_

#include <cstddef>
#include <string>

namespace aldersill {

// The file's bytes. Throws UnreadableFile if it cannot be opened or read completely, with `error` and, unless
// there is no such file, the system's reason; reads no more than `max_bytes` and one block.
std::string ReadFile(const std::string& path, const std::string& error, std::size_t max_bytes);

// Whether there is no such file. One that cannot be looked at counts as there, so that reading it reports
// why.
bool IsMissingFile(const std::string& path);

}  // namespace aldersill

#endif  // ALDERSILL_SRC_CONFIG_FILE_READER_H_
