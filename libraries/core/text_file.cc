#include "libraries/core/text_file.h"

#include <fmt/format.h>

#include <fstream>
#include <iterator>

namespace pomelospar::core {

Result<std::string> ReadTextFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return MakeError(ErrorKind::kNotFound,
                     fmt::format("cannot read \"{}\"; check the path and its permissions", path));
  }
  return std::string(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
}

Result<std::string> ReadSecretFile(const std::string& path) {
  constexpr std::string_view kWhiteSpace = " \t\r\n";
  BOOST_OUTCOME_TRY(const auto content, ReadTextFile(path));
  const auto begin = content.find_first_not_of(kWhiteSpace);
  if (begin == std::string::npos) {
    return MakeError(ErrorKind::kInvalidArgument,
                     fmt::format("\"{}\" is empty; write the secret into it", path));
  }
  const auto end = content.find_last_not_of(kWhiteSpace);
  return content.substr(begin, end - begin + 1);
}

}  // namespace pomelospar::core
