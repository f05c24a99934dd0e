#pragma once

#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace Settings::Internal {

/*! \brief Collects the JSON paths of all keys that a describe() function lists. */
class KeyCollector
{
public:
    explicit KeyCollector(std::string prefix)
        : m_prefix(std::move(prefix))
    {}

    template <typename T, typename... Range>
    auto required(std::string_view key, T &value, Range...) -> void
    {
        add(m_prefix + std::string(key), value);
    }
    template <typename T, typename... Range>
    auto optional(std::string_view key, T &value, Range...) -> void
    {
        add(m_prefix + std::string(key), value);
    }
    auto take() -> std::vector<std::string> { return std::move(m_keys); }

private:
    template <typename T>
    auto add(const std::string &path, std::vector<T> &) -> void
    {
        T item;
        addFields(path + "[].", item);
    }
    template <typename T>
    auto add(const std::string &path, T &value) -> void
    {
        if constexpr (std::is_arithmetic_v<T> || std::is_same_v<T, std::string>)
            m_keys.push_back(path);
        else
            addFields(path + '.', value);
    }
    template <typename T>
    auto addFields(std::string prefix, T &value) -> void
    {
        KeyCollector fields(std::move(prefix));
        describe(fields, value);
        for (auto &key : fields.take())
            m_keys.push_back(std::move(key));
    }

    std::string m_prefix;
    std::vector<std::string> m_keys;
};

} // namespace Settings::Internal
