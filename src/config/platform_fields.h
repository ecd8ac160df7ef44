// The fields of the platform's file: those that its documentation defines, and those that a given file has.
#ifndef ALDERSILL_SRC_CONFIG_PLATFORM_FIELDS_H_
#define ALDERSILL_SRC_CONFIG_PLATFORM_FIELDS_H_

#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace aldersill {

// Returns the fields of the file that the platform's documentation does not define, sorted. A field that is
// similar to a known one has the form `path (name?)`. A path denotes the items of a list by [].
std::vector<std::string> FindUnknownFields(const nlohmann::json& file);

// The paths of the fields that a file has. For a list they are the fields that every item has, as
// `path[].name`.
struct FieldPaths {
  std::set<std::string> fields;
  std::set<std::string> empty_lists;  // as `path[]`; the fields of their items are unknown
};
FieldPaths FieldPathsOf(const nlohmann::json& file);

// Throws MissingField if the present file lacks a field of the file that was read before, which suggests that
// the new file is truncated. Fields that valid files may add and remove are exempt.
void RequireFieldsOf(const std::set<std::string>& before, const FieldPaths& now);

}  // namespace aldersill

#endif  // ALDERSILL_SRC_CONFIG_PLATFORM_FIELDS_H_
