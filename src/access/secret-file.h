// Reads files that contain secrets and checks that only the owner has access.
#pragma once

#include "heathercross/error.h"

#include <cstdint>
#include <string>

namespace heathercross::access {

/// The reason why a secret file is rejected.
enum class SecretFault : std::uint8_t {
  Unreadable,
  /// It isn't a regular file but, for example, a directory or device.
  NotRegular,
  /// The group or others have a permission on it.
  Exposed,
  Empty,
  TooLong,
};

/// Thrown when a secret file is rejected.
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

/// The maximum size of a secret file, in bytes.
inline constexpr std::size_t MaxSecretFileBytes = std::size_t{1024} * 1024;

/// Returns the content of a secret file. Throws SecretFileError when the file
/// can't be read, is empty or longer than MaxSecretFileBytes, or grants the
/// group or others a permission.
std::string readSecretFile(const std::string &File);

} // namespace heathercross::access
