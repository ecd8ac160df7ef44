// The fields of the platform's file: which ones its pages name, and which ones a file has.
#ifndef ALDERSILL_SRC_CONFIG_PLATFORM_FIELDS_H_
#define ALDERSILL_SRC_CONFIG_PLATFORM_FIELDS_H_

#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace aldersill {

// Fields that the platform's pages do not name, sorted, each with the known name that may be meant: `path
// (name?)`. Items of a list are written as [].
std::vector<std::string> FindUnknownFields(const nlohmann::json& file);

// The fields that a file has, by path. Of a list, the fields that every item has, as `path[].name`.
struct FieldPaths {
  std::set<std::string> fields;
  std::set<std::string> empty_lists;  // as `path[]`: nothing is known of the fields of their items
};
FieldPaths FieldPathsOf(const nlohmann::json& file);

// Throws MissingField if a field of the file read before is not in the one read now, which means that the new
// file is truncated. Exempt are fields that may come and go.
void RequireFieldsOf(const std::set<std::string>& before, const FieldPaths& now);

}  // namespace aldersill

#endif  // ALDERSILL_SRC_CONFIG_PLATFORM_FIELDS_H_
