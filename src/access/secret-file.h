// Files that hold secrets, and the check that others can't read them.
#pragma once

#include "heathercross/error.h"

#include <cstdint>
#include <string>

namespace heathercross::access {

/// Why a secret file isn't used.
enum class SecretFault : std::uint8_t {
  Unreadable,
  /// It is a folder, device or the like.
  NotRegular,
  /// The group or others have a right to it.
  Exposed,
  Empty,
  TooLong,
};

/// A secret file that isn't used.
class SecretFileError : public Error {
public:
  SecretFileError(std::string File, SecretFault Fault);

  const char *code() const noexcept override { return "bad-secret-file"; }
  const std::string &file() const { return File_; }
  SecretFault fault() const { return Fault_; }

private:
  std::string File_;
  SecretFault Fault_;
};

/// The longest secret file, in bytes.
inline constexpr std::size_t MaxSecretFile = std::size_t{1024} * 1024;

/// The whole content of a secret file. Throws SecretFileError when the file
/// can't be read, is empty, longer than MaxSecretFile, or open to the group or
/// others.
std::string readSecretFile(const std::string &File);

} // namespace heathercross::access
