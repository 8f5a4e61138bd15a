package org.dotterelcourse.coordination.order;

/**
 * A version of a model. Ordered by model name, then by version name.
 *
 * @param model the model's name
 * @param version the version's name
 */
public record ModelVersion(String model, String version) implements Comparable<ModelVersion> {
    @Override
    public int compareTo(ModelVersion other) {
        int byModel = model.compareTo(other.model);
        return byModel != 0 ? byModel : version.compareTo(other.version);
    }
}
