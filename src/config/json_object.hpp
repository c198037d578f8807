// Typed access to JSON objects, with errors that name the path of the faulty key.
#pragma once

#include <rapidjson/document.h>

#include <cmath>
#include <string>

#include "config/settings_reader.hpp"

namespace heathturn {

/// A JSON object and its path in the document. Holds a reference to the value: the document must outlive it.
/// All accessors throw InputError naming the path when a value is missing, of another type or out of range.
class JsonObject {
 public:
  JsonObject(const rapidjson::Value& value, std::string path) : value_(value), path_(std::move(path)) {
    if (!value.IsObject()) throw maddershed::InputError(path_ + " is not an object");
  }
  /// Path of a key of this object, as in "limits.sockets".
  [[nodiscard]] std::string path(const std::string& key) const {
    return path_.empty() ? key : path_ + "." + key;
  }
  /// The value under `key`; nullptr when it is missing or null.
  [[nodiscard]] const rapidjson::Value* find(const char* key) const {
    const auto it = value_.FindMember(key);
    return it == value_.MemberEnd() || it->value.IsNull() ? nullptr : &it->value;
  }
  [[nodiscard]] const rapidjson::Value& required(const char* key) const {
    const auto* found = find(key);
    if (found == nullptr) throw maddershed::InputError(path(key) + " is missing");
    return *found;
  }
  [[nodiscard]] std::string text(const char* key) const { return text_of(required(key), key); }
  [[nodiscard]] std::string text(const char* key, const std::string& fallback) const {
    const auto* found = find(key);
    return found == nullptr ? fallback : text_of(*found, key);
  }
  [[nodiscard]] double number(const char* key, double min, double max) const {
    const auto& value = required(key);
    if (!value.IsNumber()) throw maddershed::InputError(path(key) + " is not a number");
    const double number = value.GetDouble();
    if (!(number >= min && number <= max)) throw maddershed::InputError(path(key) + " is out of range");
    return number;
  }
  [[nodiscard]] double number(const char* key, double min, double max, double fallback) const {
    return find(key) == nullptr ? fallback : number(key, min, max);
  }
  [[nodiscard]] const rapidjson::Value& array(const char* key) const {
    const auto& value = required(key);
    if (!value.IsArray()) throw maddershed::InputError(path(key) + " is not an array");
    return value;
  }
  [[nodiscard]] JsonObject object(const char* key) const { return {required(key), path(key)}; }
  [[nodiscard]] const rapidjson::Value& value() const { return value_; }

 private:
  [[nodiscard]] std::string text_of(const rapidjson::Value& value, const char* key) const {
    if (!value.IsString()) throw maddershed::InputError(path(key) + " is not a string");
    return {value.GetString(), value.GetStringLength()};
  }
  const rapidjson::Value& value_;
  std::string path_;
};

/// Parses JSON. Throws InputError when the text is not JSON; `what` names the document in the error.
inline void parse_json(rapidjson::Document& document, const std::string& text, const std::string& what) {
  document.Parse<rapidjson::kParseIterativeFlag>(text.data(), text.size());
  if (document.HasParseError()) {
    throw maddershed::InputError(what + " is not JSON, error at byte " +
                                 std::to_string(document.GetErrorOffset()));
  }
}

}  // namespace heathturn
