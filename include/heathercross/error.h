// The root of all failures and the one place that throws them.
#pragma once

#include <concepts>
#include <exception>
#include <string>
#include <utility>

namespace heathercross {

/// The root of every failure that heathercross reports. Each failure is a type
/// of its own, derived from this one, that carries what a program needs to act
/// on it; the text is for people.
class Error : public std::exception {
public:
  const char *what() const noexcept override { return Text_.c_str(); }

  /// A stable name of the failure for machines, such as "version-conflict".
  virtual const char *code() const noexcept = 0;

protected:
  explicit Error(std::string Text) : Text_(std::move(Text)) {}

private:
  std::string Text_;
};

/// Throws a failure. All throw expressions of the project go through here, so
/// one breakpoint sees each of them.
template <class E>
requires std::derived_from<E, Error>
[[noreturn]] void raise(E Failure) { throw Failure; }

/// A text from outside that doesn't have the form it should have.
class FormatError : public Error {
public:
  /// Where is the place in the input, for example "pool.size".
  FormatError(std::string Where, const std::string &Problem)
      : Error(Where + ": " + Problem), Where_(std::move(Where)) {}

  const char *code() const noexcept override { return "bad-format"; }
  const std::string &where() const { return Where_; }

private:
  std::string Where_;
};

} // namespace heathercross
