// Reads files that contain secrets and checks that only the owner has access.
#include "access/secret-file.h"

#include <array>
#include <fcntl.h>
#include <string_view>
#include <sys/stat.h>
#include <unistd.h>
#include <utility>

namespace heathercross::access {

namespace {

/// In the order of SecretFault.
constexpr std::array<std::string_view, 5> FaultTexts{
    "can't be read", "is no regular file",
    "is open to its group or others (chmod 600)", "is empty", "is too long"};

/// Opens a file and closes it at the end of the scope.
class Descriptor {
public:
  explicit Descriptor(const std::string &File)
      : Number_(::open(File.c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK)) {}
  ~Descriptor() {
    if (isOpen())
      ::close(Number_);
  }
  Descriptor(const Descriptor &) = delete;
  Descriptor &operator=(const Descriptor &) = delete;

  bool isOpen() const { return Number_ >= 0; }
  int number() const { return Number_; }

private:
  int Number_;
};

/// Checks the permissions of the opened file rather than of its path, so that
/// the file can't be replaced between the check and the read.
void checkRights(const std::string &File, const Descriptor &D) {
  struct stat Status {};
  if (!D.isOpen() || ::fstat(D.number(), &Status) != 0)
    raise(SecretFileError(File, SecretFault::Unreadable));
  if (!S_ISREG(Status.st_mode))
    raise(SecretFileError(File, SecretFault::NotRegular));
  if ((Status.st_mode & (S_IRWXG | S_IRWXO)) != 0)
    raise(SecretFileError(File, SecretFault::Exposed));
}

std::string readAll(const std::string &File, const Descriptor &D) {
  std::string Text;
  std::array<char, 4096> Buffer;
  while (Text.size() <= MaxSecretFileBytes) {
    const ssize_t Count = ::read(D.number(), Buffer.data(), Buffer.size());
    if (Count < 0)
      raise(SecretFileError(File, SecretFault::Unreadable));
    if (Count == 0)
      return Text;
    Text.append(Buffer.data(), static_cast<std::size_t>(Count));
  }
  raise(SecretFileError(File, SecretFault::TooLong));
}

} // namespace

SecretFileError::SecretFileError(std::string File, SecretFault Fault)
    : Error(File + " " +
            std::string(FaultTexts[static_cast<std::size_t>(Fault)])),
      File_(std::move(File)), Fault_(Fault) {}

std::string readSecretFile(const std::string &File) {
  const Descriptor D(File);
  checkRights(File, D);
  std::string Text = readAll(File, D);
  if (Text.empty())
    raise(SecretFileError(File, SecretFault::Empty));
  return Text;
}

} // namespace heathercross::access
