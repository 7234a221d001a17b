// Base class of all heathercross exceptions, and the function that throws them.
#pragma once

#include <concepts>
#include <exception>
#include <string>
#include <utility>

namespace heathercross {

/// Base class of every exception that heathercross throws. Each kind of failure
/// is a derived class whose members carry what a program needs to handle it;
/// what() is a message for people.
class Error : public std::exception {
public:
  const char *what() const noexcept override { return Text_.c_str(); }

  /// A stable error code for programs, such as "version-conflict".
  virtual const char *code() const noexcept = 0;

protected:
  explicit Error(std::string Text) : Text_(std::move(Text)) {}

private:
  std::string Text_;
};

/// Throws an exception. All code throws through this function, so that one
/// breakpoint catches every throw.
template <class E>
requires std::derived_from<E, Error>
[[noreturn]] void raise(E Failure) { throw Failure; }

/// External input that is malformed or out of range.
class FormatError : public Error {
public:
  /// Where is the path of the bad value in the input, such as "pool.size".
  FormatError(std::string Where, const std::string &Problem)
      : Error(Where + ": " + Problem), Where_(std::move(Where)) {}

  const char *code() const noexcept override { return "bad-format"; }
  const std::string &where() const { return Where_; }

private:
  std::string Where_;
};

} // namespace heathercross
